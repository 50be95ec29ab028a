package craccount

import (
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// TokenRequest requests tokens from the owner of shares, and reports the usage of earlier grants.
type TokenRequest struct {
	_ struct{} `cbor:",toarray"`

	Inc   crid.Incarnation   `cbor:"i"` // of the requesting daemon
	Seq   uint64             `cbor:"q"` // increases with every request of one incarnation
	Items []TokenRequestItem `cbor:"t"`
	Usage []GrantUsage       `cbor:"u"`
}

// MessageKind implements crevent.Message.
func (TokenRequest) MessageKind() string { return "ask" }

// TokenRequestItem requests tokens of one share.
type TokenRequestItem struct {
	_ struct{} `cbor:",toarray"`

	Account     crid.Account `cbor:"a"`
	Share       int          `cbor:"s"`
	Want        int          `cbor:"w"` // tokens
	WaitForRest bool         `cbor:"k"` // send the remaining tokens as they are refilled
}

// GrantUsage reports the usage of one grant. Its counts are cumulative, so that a duplicate
// changes nothing and the next report makes up for a lost one.
type GrantUsage struct {
	_ struct{} `cbor:",toarray"`

	Account  crid.Account     `cbor:"a"`
	Share    int              `cbor:"s"`
	Inc      crid.Incarnation `cbor:"i"` // of the granting daemon
	Grant    uint64           `cbor:"g"`
	Taken    int              `cbor:"t"` // tokens spent
	Returned int              `cbor:"b"` // tokens returned unspent
	Spent    []SpentTokens    `cbor:"p"` // ages of the tokens that no earlier report covers
}

// Grant transfers tokens to the requesting daemon.
type Grant struct {
	_ struct{} `cbor:",toarray"`

	Inc   crid.Incarnation `cbor:"i"` // of the granting daemon
	ToInc crid.Incarnation `cbor:"o"` // of the requesting daemon
	Seq   uint64           `cbor:"q"` // of the TokenRequest that is answered
	Items []GrantItem      `cbor:"t"`
}

// MessageKind implements crevent.Message.
func (Grant) MessageKind() string { return "grant" }

// GrantItem transfers tokens of one share. Without tokens it reports that the owner is short.
type GrantItem struct {
	_ struct{} `cbor:",toarray"`

	Account         crid.Account `cbor:"a"`
	Share           int          `cbor:"s"`
	ID              uint64       `cbor:"g"` // unique in the granting incarnation
	Tokens          int          `cbor:"n"`
	Short           bool         `cbor:"h"` // fewer tokens than requested
	NextTokenMillis int          `cbor:"f"` // when short: milliseconds until the next token is refilled
	Remaining       int          `cbor:"l"` // the owner's balance after this grant
	Contended       bool         `cbor:"v"` // when short: other daemons wait as well
	Recall          bool         `cbor:"r"` // other daemons are short: return the tokens that are not needed at once
}

// UsageReport reports the usage of grants without requesting tokens.
type UsageReport struct {
	_ struct{} `cbor:",toarray"`

	Usage []GrantUsage `cbor:"u"`
}

// MessageKind implements crevent.Message.
func (UsageReport) MessageKind() string { return "return" }

// Messages returns a zero value of each message, for the registry of the codec.
func Messages() []crevent.Message {
	return []crevent.Message{TokenRequest{}, Grant{}, UsageReport{}}
}

// GrantKey identifies a grant across the fleet and across restarts.
type GrantKey struct {
	Owner crid.Daemon
	Inc   crid.Incarnation
	ID    uint64
}

// Deposit is the effect that adds tokens to the [TokenPool]. Without tokens, it marks the
// account as exhausted until ExhaustedUntil.
type Deposit struct {
	Account        crid.Account
	Share          int
	Key            GrantKey
	Tokens         int
	Short          bool          // the owner had no more: an exhausted account stays exhausted
	ExpiresAt      crid.Instant  `cbor:"VoidAt" json:"VoidAt"` // the tokens are not spent at or after this instant
	ExhaustedUntil crid.Instant  `cbor:"DryUntil" json:"DryUntil"`
	RetryAfter     time.Duration // returned to refused callers while the account is exhausted
}

// EffectName implements crevent.Effect.
func (Deposit) EffectName() string { return "deposit" }

// Withdraw is the effect that takes all but Keep tokens of an account out of the [TokenPool].
// The next Drain reports them as returned.
type Withdraw struct {
	Account crid.Account
	Keep    int
}

// EffectName implements crevent.Effect.
func (Withdraw) EffectName() string { return "withdraw" }

// Forget is the effect that drops an idle account from the [TokenPool].
type Forget struct {
	Account crid.Account
}

// EffectName implements crevent.Effect.
func (Forget) EffectName() string { return "forget" }

// UsageDelta is the usage of one grant since the last Drain, or, with a zero Key, the number
// of an account's requests that found no token.
type UsageDelta struct {
	Account        crid.Account
	Key            GrantKey
	Taken          int
	LastSpentAt    crid.Instant `cbor:"Spent" json:"Spent"` // when the last of Taken was spent, by the clock reading of its request
	Returned       int          `cbor:"Back" json:"Back"`
	Refused        int
	Cold           int
	TakenAfterWait int `cbor:"Again" json:"Again"` // tokens taken by requests that were counted as Cold before
}

// UsageDrained is the event that passes the drained counts of the [TokenPool] to the reducer.
type UsageDrained struct {
	Now   crid.Instant
	Usage []UsageDelta
}

// At implements crevent.Event.
func (e UsageDrained) At() crid.Instant { return e.Now }
