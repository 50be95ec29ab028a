package cringress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// maxBodyBytes bounds the body of a request, which is held in memory, whatever the
	// operator allows: a daemon has a few hundred megabytes of memory.
	maxBodyBytes = 16 << 20
	// maxHeldBytes bounds the bodies of all requests in flight. An offer copies a body, so
	// that they take up to three times as much memory.
	maxHeldBytes = 64 << 20
	// maxLargeHeldBytes bounds them for bodies above smallBodyBytes, so that large bodies do
	// not keep out small ones.
	maxLargeHeldBytes = maxHeldBytes - maxHeldBytes/4
	smallBodyBytes    = 64 << 10
	// bodyRetryAfter is the Retry-After of a request for whose body there is no room. Bodies
	// are held until their requests end, a second or so.
	bodyRetryAfter = time.Second
	// refusedBodyTime bounds the time for which net/http reads the body of a request that is
	// refused by its head, before it sends the response.
	refusedBodyTime = 500 * time.Millisecond
)

// errNoRoom means that there is no room for a body beside those of other requests.
var errNoRoom = errors.New("no room for the body")

// heldReader reads a body, and counts it among the bodies that are held.
type heldReader struct {
	src  io.Reader
	held *atomic.Int64 // by all requests in flight
	n    int64
}

// Read implements io.Reader. Beyond the bounds it releases the body and returns errNoRoom, so
// that bodies which arrive at the same time are not all refused.
func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	r.n += int64(n)
	if r.held.Add(int64(n)) > heldLimit(r.n) {
		r.release()
		return n, errNoRoom
	}
	return n, err //nolint:wrapcheck // its callers compare it
}

// release removes the body from those that are held.
func (r *heldReader) release() {
	if r.held != nil {
		r.held.Add(-r.n)
		r.n = 0
	}
}

// heldLimit returns what all requests may hold when a body has a size.
func heldLimit(size int64) int64 {
	if size > smallBodyBytes {
		return maxLargeHeldBytes
	}
	return maxHeldBytes
}

// readBody reads the body, which is held until the request ends.
func (q *request) readBody() (response, bool) {
	limit := int64(maxBodyBytes)
	if allowed := q.view.Plan.Limits().BodyBytes; allowed > 0 {
		limit = min(limit, allowed)
	}
	declared := q.http.ContentLength
	if declared > limit {
		return refusal(http.StatusRequestEntityTooLarge, "the body is too large", 0), false
	}
	if q.held.Load()+max(declared, 0) > heldLimit(declared) {
		return noRoom(), false
	}
	q.limitBody(max(q.deadline.Sub(q.opts.Clock()), time.Millisecond))
	q.heldBody = heldReader{src: q.http.Body, held: &q.held}
	body, err := io.ReadAll(io.LimitReader(&q.heldBody, limit+1))
	if errors.Is(err, errNoRoom) {
		q.limitBody(refusedBodyTime)
		return noRoom(), false
	}
	q.incomplete = err != nil
	// net/http replaces the error that it meets in a trailer.
	if errors.Is(err, os.ErrDeadlineExceeded) || err != nil && q.deadline.Sub(q.opts.Clock()) <= 0 {
		return refusal(http.StatusRequestTimeout, "the body did not arrive in time", 0), false
	}
	if err != nil {
		return refusal(http.StatusBadRequest, "the body broke off", 0), false
	}
	if int64(len(body)) > limit {
		return refusal(http.StatusRequestEntityTooLarge, "the body is too large", 0), false
	}
	q.limitBody(0)
	q.body = body
	return response{}, true
}

func noRoom() response {
	return refusal(http.StatusServiceUnavailable, errNoRoom.Error(), bodyRetryAfter)
}

// limitBody bounds the time in which the rest of the body may arrive; zero: it is complete.
func (q *request) limitBody(d time.Duration) {
	if q.http.ContentLength == 0 {
		return
	}
	var until time.Time
	if d > 0 {
		until = time.Now().Add(d)
	}
	_ = q.conn.SetReadDeadline(until) // fails only on a closed connection, or one without deadlines
}
