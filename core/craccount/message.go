package craccount

import (
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// TokenRequest asks the owner of shares for tokens, and reports on earlier grants.
type TokenRequest struct {
	_ struct{} `cbor:",toarray"`

	Inc   crid.Incarnation   `cbor:"i"` // of the asking daemon
	Seq   uint64             `cbor:"q"` // grows with every Ask of one incarnation
	Items []TokenRequestItem `cbor:"t"`
	Usage []GrantUsage       `cbor:"u"`
}

// MessageKind implements crevent.Message.
func (TokenRequest) MessageKind() string { return "ask" }

// TokenRequestItem asks for tokens of one share.
type TokenRequestItem struct {
	_ struct{} `cbor:",toarray"`

	Account     crid.Account `cbor:"a"`
	Share       int          `cbor:"s"`
	Want        int          `cbor:"w"` // tokens
	WaitForRest bool         `cbor:"k"` // send the rest as it is minted
}

// GrantUsage reports on one grant, cumulatively, so that a duplicate changes nothing
// and a lost report is made good by the next.
type GrantUsage struct {
	_ struct{} `cbor:",toarray"`

	Account  crid.Account     `cbor:"a"`
	Share    int              `cbor:"s"`
	Inc      crid.Incarnation `cbor:"i"` // of the granting daemon
	Grant    uint64           `cbor:"g"`
	Taken    int              `cbor:"t"` // tokens spent
	Returned int              `cbor:"b"` // tokens given up unspent
	Spent    []SpentTokens    `cbor:"p"` // ages of tokens that no report told of before
}

// Grant moves tokens to the daemon that asked.
type Grant struct {
	_ struct{} `cbor:",toarray"`

	Inc   crid.Incarnation `cbor:"i"` // of the granting daemon
	ToInc crid.Incarnation `cbor:"o"` // of the asking daemon
	Seq   uint64           `cbor:"q"` // of the Ask that is answered
	Items []GrantItem      `cbor:"t"`
}

// MessageKind implements crevent.Message.
func (Grant) MessageKind() string { return "grant" }

// GrantItem moves tokens of one share; with no tokens it says that the owner
// is short.
type GrantItem struct {
	_ struct{} `cbor:",toarray"`

	Account         crid.Account `cbor:"a"`
	Share           int          `cbor:"s"`
	ID              uint64       `cbor:"g"` // unique in the granting incarnation
	Tokens          int          `cbor:"n"`
	Short           bool         `cbor:"h"` // less than was asked for
	NextTokenMillis int          `cbor:"f"` // when short: milliseconds until the next token is minted
	Remaining       int          `cbor:"l"` // tokens the owner has after this
	Contended       bool         `cbor:"v"` // when short: other daemons wait, too
	Recall          bool         `cbor:"r"` // others are short: give back what is not needed at once
}

// UsageReport reports on grants without asking for more.
type UsageReport struct {
	_ struct{} `cbor:",toarray"`

	Usage []GrantUsage `cbor:"u"`
}

// MessageKind implements crevent.Message.
func (UsageReport) MessageKind() string { return "return" }

// Messages returns a zero value of each message, for the codec's registry.
func Messages() []crevent.Message {
	return []crevent.Message{TokenRequest{}, Grant{}, UsageReport{}}
}

// GrantKey names a grant in the fleet, over all time.
type GrantKey struct {
	Owner crid.Daemon
	Inc   crid.Incarnation
	ID    uint64
}

// Deposit is the effect that puts tokens into the [TokenPool], or, with no tokens,
// tells it that the account is exhausted until DryUntil.
type Deposit struct {
	Account        crid.Account
	Share          int
	Key            GrantKey
	Tokens         int
	Short          bool          // the owner had no more: an exhausted account stays so
	ExpiresAt      crid.Instant  `cbor:"VoidAt" json:"VoidAt"` // never spent at or after this instant
	ExhaustedUntil crid.Instant  `cbor:"DryUntil" json:"DryUntil"`
	RetryAfter     time.Duration // advice for refused callers while dry
}

// EffectName implements crevent.Effect.
func (Deposit) EffectName() string { return "deposit" }

// Withdraw is the effect that takes all but Keep tokens of an account out of
// the [TokenPool]; the next Drain reports them as given back.
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

// UsageDelta is what happened to one grant, or to an account's requests that found
// no token, since the last Drain. A zero Key marks the latter.
type UsageDelta struct {
	Account        crid.Account
	Key            GrantKey
	Taken          int
	LastSpentAt    crid.Instant `cbor:"Spent" json:"Spent"` // when the last of Taken was spent, by the request's clock reading
	Returned       int          `cbor:"Back" json:"Back"`
	Refused        int
	Cold           int
	TakenAfterWait int `cbor:"Again" json:"Again"` // taken after the wait by requests that were counted as Cold
}

// UsageDrained feeds the drained counts of the [TokenPool] back into the reducer.
type UsageDrained struct {
	Now   crid.Instant
	Usage []UsageDelta
}

// At implements crevent.Event.
func (e UsageDrained) At() crid.Instant { return e.Now }
