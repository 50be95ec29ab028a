package croffer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crid"
)

// Paths of the requests between daemons.
const (
	PathOffer = "/offer"
	PathRun   = "/run/"
	PathCopy  = "/copy"
	PathFeed  = "/feed"
)

// Parameters in the URI of an offer.
const (
	queryFreeSlot  = "slot=free" // see Offer.FreeSlot
	queryAttempt   = "attempt="  // in milliseconds; see Offer.Attempt
	queryTrialIdle = "idle="     // in milliseconds; see Offer.TrialIdle
	queryLimit     = "limit="    // in requests a second; see Offer.Limit

	queryCallsSpent = "calls=spent" // see Offer.CallsSpent
	queryAccount    = "acct="       // in hexadecimal; see Offer.Account
	queryRate       = "rate="       // in requests a second; see Offer.Rate
)

// Headers of a result.
const (
	headerCalls = "Calls" // see Result.Calls
	headerEnded = "Ended" // see Result.EndedMillis
)

const (
	// maxBodyBytes bounds the body of a peer's request, which may contain a caller's
	// request with its body.
	maxBodyBytes = 18 << 20
	// bodyTimeout bounds the time in which it arrives, also over a slow link.
	bodyTimeout = 30 * time.Second
)

// StoreHandlers serve the store reads of peers.
type StoreHandlers struct {
	Copy func(have []byte) (any, error)                  // returns the store data that the peer lacks
	Feed func(ctx context.Context, q FeedQuery) FeedPage // reads the store for the peer
}

// Handler serves the requests of other daemons.
func Handler(exit Exit, clock func() crid.Instant, store StoreHandlers) http.Handler {
	return newHandler(exit, clock, store, bodyReader{timeout: bodyTimeout})
}

func newHandler(exit Exit, clock func() crid.Instant, store StoreHandlers, body bodyReader) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathOffer, func(w http.ResponseWriter, r *http.Request) {
		var o Offer
		if body.decode(w, r, &o) {
			o.parseQuery(r.URL.RawQuery)
			writeResponse(w, exit.Offer(clock(), o))
		}
	})
	mux.HandleFunc("POST "+PathRun+"{ticket}", func(w http.ResponseWriter, r *http.Request) {
		ticket, err := strconv.ParseUint(r.PathValue("ticket"), 10, 64)
		if err != nil {
			http.Error(w, "no such ticket", http.StatusBadRequest)
			return
		}
		var req Request
		if !body.decode(w, r, &req) {
			// The request is incomplete and will not run.
			exit.Release(ticket)
			return
		}
		result := exit.Run(r.Context(), ticket, req)
		if calls := encodeCalls(result.Calls); calls != "" {
			w.Header().Set(headerCalls, calls)
		}
		if result.EndedMillis != 0 {
			w.Header().Set(headerEnded, strconv.FormatInt(result.EndedMillis, 10))
		}
		writeResponse(w, result)
	})
	mux.HandleFunc("POST "+PathCopy, func(w http.ResponseWriter, r *http.Request) {
		var have cbor.RawMessage
		if !body.decode(w, r, &have) {
			return
		}
		c, err := store.Copy(have)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeResponse(w, c)
	})
	mux.HandleFunc("POST "+PathFeed, func(w http.ResponseWriter, r *http.Request) {
		var q FeedQuery
		if body.decode(w, r, &q) {
			writeResponse(w, store.Feed(r.Context(), q))
		}
	})
	return mux
}

// bodyReader reads the bodies of requests.
type bodyReader struct{ timeout time.Duration }

// decode decodes the body of a request. If it cannot, it answers with status 400 and
// returns false.
func (b bodyReader) decode(w http.ResponseWriter, r *http.Request, into any) bool {
	// A connection without deadlines, in tests, returns an error.
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(b.timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = cbor.Unmarshal(body, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	_ = conn.SetReadDeadline(time.Time{})
	return true
}

func writeResponse(w http.ResponseWriter, v any) {
	body, err := cbor.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// Peers do not read these headers, and traffic between domains is expensive.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// If the peer has disconnected, the request's context ends.
	_, _ = w.Write(body)
}
