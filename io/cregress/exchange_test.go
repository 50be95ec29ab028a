package cregress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crcrash"
	"camphorroad/core/crid"
	"camphorroad/core/crregistry"
	"camphorroad/core/crwarmup"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/platform"
)

// exchangeKind is what the exit sends to its target in an exchange.
type exchangeKind string

const (
	kindRequest   exchangeKind = "request"
	kindSameID    exchangeKind = "request with the ID of the last" // request
	kindAnonymous exchangeKind = "anonymous"                       // a request without an ID
	kindCheck     exchangeKind = "check"
)

// responseKind is how the scripted target responds in an exchange.
type responseKind string

const (
	respond      responseKind = "responds"
	respondEarly responseKind = "responds twice at once"
	respondLate  responseKind = "responds twice, late"
	reject       responseKind = "rejects"
	rejectLate   responseKind = "rejects twice, late"
	respondIll   responseKind = "responds that it is ill" // only to a check
	respondNoID  responseKind = "responds without ID"
	stayQuiet    responseKind = "does not respond"
	cutShort     responseKind = "breaks off"
)

// keepOpen lists the responses after which the exit may use the connection again.
func keepOpen() []responseKind { return []responseKind{respond, respondLate, reject, rejectLate} }

func allResponses() []responseKind {
	return append(keepOpen(), respondEarly, respondNoID, stayQuiet, cutShort)
}

// exchangeStep is an exchange between the exit and its target.
type exchangeStep struct {
	kind     exchangeKind
	response responseKind
}

// isAnswered reports whether the target responds to the exchange as the protocol demands.
func (s exchangeStep) isAnswered() bool {
	switch s.response {
	case stayQuiet, cutShort:
		return false
	case respondNoID:
		return !s.hasID()
	default:
		return true
	}
}

func (s exchangeStep) hasID() bool { return s.kind == kindRequest || s.kind == kindSameID }

func (s exchangeStep) isRejected() bool { return s.response == reject || s.response == rejectLate }

// scriptedTarget responds to exchange i as step i says. The announcements in its response contain i.
type scriptedTarget struct {
	listener net.Listener
	delay    time.Duration // between the second copy of a late response and the next response
	mu       sync.Mutex
	path     string // of the requests of the steps; others are late ones of earlier steps
	steps    []exchangeStep
	arrived  int // exchanges that have arrived
	conns    []net.Conn
}

func startScriptedTarget(t testing.TB) *scriptedTarget {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	s := &scriptedTarget{listener: l}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			wg.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.reset("", nil)
		wg.Wait()
	})
	return s
}

// reset closes all connections and replaces the steps.
func (s *scriptedTarget) reset(path string, steps []exchangeStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.conns, s.path, s.steps, s.arrived = nil, path, steps, 0
}

// hasRun reports whether the request of exchange i has run.
func (s *scriptedTarget) hasRun(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return i < s.arrived && !s.steps[i].isRejected()
}

func (s *scriptedTarget) next(path string) (i int, step exchangeStep, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if path != s.path || s.arrived >= len(s.steps) {
		return 0, exchangeStep{}, false
	}
	s.arrived++
	return s.arrived - 1, s.steps[s.arrived-1], true
}

func (s *scriptedTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	late := "" // second copies that are due where the next response is expected
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		i, step, ok := s.next(r.URL.Path)
		if !ok {
			return
		}
		text := step.encode(i, r.Header.Get("Request-Id"))
		if err := s.write(conn, late, step.atOnce(text)); err != nil || step.response == cutShort {
			return
		}
		late = ""
		if step.response == respondLate || step.response == rejectLate {
			late = text
		}
	}
}

func (s *scriptedTarget) write(conn net.Conn, late, text string) error {
	if late != "" && s.delay > 0 {
		if _, err := io.WriteString(conn, late); err != nil {
			return err
		}
		late = ""
		time.Sleep(s.delay)
	}
	_, err := io.WriteString(conn, late+text)
	return err
}

// atOnce returns what the target sends of a response when it is due.
func (s exchangeStep) atOnce(text string) string {
	switch s.response {
	case respondEarly:
		return text + text
	case stayQuiet:
		return ""
	case cutShort:
		return text[:len(text)-2]
	default:
		return text
	}
}

// warmupOf and limitOf are what the target announces in exchange i.
func warmupOf(i int) time.Duration { return time.Duration(i+1) * time.Hour }
func limitOf(i int) float64        { return 1e5 + float64(i) }

func bodyOf(i int) string { return "body of exchange " + strconv.Itoa(i) }

func (s exchangeStep) encode(i int, id string) string {
	var b strings.Builder
	status, body := http.StatusOK, bodyOf(i)
	if s.isRejected() {
		status, body = http.StatusServiceUnavailable, "rejected"
	}
	if s.response == respondIll {
		status = http.StatusServiceUnavailable
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nServer-Limit: %f\r\nContent-Length: %d\r\n", status, http.StatusText(status), limitOf(i), len(body))
	if id != "" && s.response != respondNoID {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	switch {
	case s.isRejected():
		b.WriteString("Not-Executed: 1\r\n")
	case s.kind == kindCheck:
		fmt.Fprintf(&b, "Instance-Id: t1\r\nWarmup-Milliseconds: %d\r\n", warmupOf(i).Milliseconds())
	default:
		b.WriteString("Response-Seal: s\r\n")
	}
	return b.String() + "\r\n" + body
}

// exchangeTrial plays steps on an exit and its target.
type exchangeTrial struct {
	target *scriptedTarget
	exit   *Exit
	now    atomic.Int64
	plays  int
	lastID string        // of a request of this play
	path   string        // of the requests of this play
	warmup time.Duration // the last that a check has learned
	limit  float64       // the last that a response has named
}

func (e *exchangeTrial) clock() crid.Instant { return crid.Instant(e.now.Load()) }

// exchangeInterval is the time between two exchanges, in which the limits of the target allow another.
const exchangeInterval = 100 * time.Millisecond

// quietTime is how long an exchange without a response is waited for.
const quietTime = 3 * time.Millisecond

func (e *exchangeTrial) play(ctx context.Context, steps []exchangeStep) error {
	e.plays++
	e.path = "/" + strconv.Itoa(e.plays)
	e.target.reset(e.path, steps)
	e.lastID, e.warmup, e.limit = "", 0, 0
	e.now.Store(int64(time.Hour))
	e.exit = New(Options{
		Service: "s1", Address: e.target.listener.Addr().String(), Dialect: platform.Dialect{}, Clock: e.clock,
		Log: crlog.New(io.Discard, "fatal", "test"), Crashes: crcrash.NewTracker(), OnTargetChange: func() {}, OnTargetEnd: func() {}, OnOffer: func(crid.Daemon) {},
	})
	defer e.exit.pool.Close()
	e.exit.SetTarget(&crregistry.Record{Target: "t1", Service: "s1", Slots: 1})
	e.exit.SetWarmup(crwarmup.Params{Limit: 1000, Duration: time.Hour}, e.path)
	var errs []error
	for i, step := range steps {
		e.now.Add(int64(exchangeInterval))
		if err := e.exchange(ctx, i, step); err != nil {
			errs = append(errs, fmt.Errorf("exchange %d of %v: %w", i, steps, err))
		}
	}
	return errors.Join(errs...)
}

func (e *exchangeTrial) exchange(ctx context.Context, i int, step exchangeStep) error {
	if !step.isAnswered() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, quietTime)
		defer cancel()
	}
	var err error
	if step.kind == kindCheck {
		e.exit.checkWarmup(ctx, e.clock())
	} else {
		err = e.request(ctx, i, step)
	}
	return errors.Join(err, e.checkBeliefs(i, step))
}

func (e *exchangeTrial) request(ctx context.Context, i int, step exchangeStep) error {
	offer := testOffer(false)
	offer.LastResort = true // whatever the responses before say of the target's health
	reply := e.exit.Offer(e.clock(), offer)
	if !reply.Accepted {
		return fmt.Errorf("refused: %s", reply.Reason)
	}
	request := croffer.Request{Method: http.MethodPost, URI: e.path, Host: "h", Header: map[string][]string{}, Wait: 2 * time.Second}
	if step.kind == kindRequest || (step.kind == kindSameID && e.lastID == "") {
		e.lastID = "q" + strconv.Itoa(i)
	}
	if step.hasID() {
		request.ID = e.lastID
		request.Header["Request-Id"] = []string{request.ID}
	}
	result := e.exit.Run(ctx, reply.Ticket, request)
	switch {
	case result.NotRun() && e.target.hasRun(i):
		return fmt.Errorf("it has run, and its outcome is %v: %s", result.Outcome, result.Reason)
	case result.Outcome == croffer.Answered && (!step.isAnswered() || string(result.Body) != bodyOf(i)):
		return fmt.Errorf("its caller got %d %q", result.Status, result.Body)
	case step.isAnswered() && step.isRejected() != (result.Outcome == croffer.Rejected):
		return fmt.Errorf("the target responded, and its outcome is %v: %s", result.Outcome, result.Reason)
	case step.isAnswered() && !step.isRejected() && result.Outcome != croffer.Answered:
		return fmt.Errorf("its response is lost, its outcome is %v: %s", result.Outcome, result.Reason)
	}
	return nil
}

// checkBeliefs compares what the exit believes of the target with what the target has last announced.
func (e *exchangeTrial) checkBeliefs(i int, step exchangeStep) error {
	if step.isAnswered() {
		e.limit = limitOf(i)
		if step.kind == kindCheck && !step.isRejected() {
			e.warmup = warmupOf(i)
		}
	}
	if got := e.exit.ColdFor(); got > e.warmup || e.warmup-got > time.Minute {
		return fmt.Errorf("the target counts as cold for %v in place of %v", got, e.warmup)
	}
	if got := e.exit.Announced().Limit; got != e.limit {
		return fmt.Errorf("the target's limit is %f in place of %f", got, e.limit)
	}
	return nil
}

func playSteps(t *testing.T, steps ...exchangeStep) {
	t.Helper()
	trial := &exchangeTrial{target: startScriptedTarget(t)}
	trial.target.delay = 20 * time.Millisecond
	gomega.NewWithT(t).Expect(trial.play(t.Context(), steps)).To(gomega.Succeed())
}

// Guards against 503 for a request that runs, from the response to the health check before it.
func TestResponseToCheckIsNotThatOfARequest(t *testing.T) {
	playSteps(t, exchangeStep{kindRequest, respondLate}, exchangeStep{kindCheck, respondIll}, exchangeStep{kindRequest, respond})
}

// Guards against a request that runs twice after the second copy of a rejected health check.
func TestRejectedCheckDoesNotRejectTheNextRequest(t *testing.T) {
	playSteps(t, exchangeStep{kindCheck, rejectLate}, exchangeStep{kindRequest, respond})
}

// Guards against a caller without a request ID that gets the response of another caller.
func TestRequestWithoutIDDoesNotGetAnEarlierResponse(t *testing.T) {
	playSteps(t, exchangeStep{kindRequest, respondLate}, exchangeStep{kindAnonymous, respond})
}

// Guards against a health check that counts an earlier response as news of the target.
func TestCheckDoesNotTakeAnEarlierCheck(t *testing.T) {
	playSteps(t, exchangeStep{kindCheck, respondLate}, exchangeStep{kindCheck, respond})
}

// Guards against a request that runs twice after the second copy of the rejection of its first attempt.
func TestRejectionOfAnAttemptIsNotThatOfTheNext(t *testing.T) {
	playSteps(t, exchangeStep{kindRequest, rejectLate}, exchangeStep{kindSameID, respond})
}

// Guards against a response that is taken for that of another exchange, in all orders of up to four.
func TestEachResponseBelongsToItsExchange(t *testing.T) {
	playOrders(t, allOrders(4, kindRequest, kindAnonymous, kindCheck))
}

// Guards against the same where a connection gets an ID again, in all orders of up to three.
func TestEachResponseBelongsToItsExchangeWhenIDsRepeat(t *testing.T) {
	playOrders(t, allOrders(3, kindRequest, kindSameID, kindAnonymous, kindCheck))
}

// allOrders returns all orders of up to n exchanges of the given kinds. A response after which the
// connection is closed comes last only, as no exchange can follow it there.
func allOrders(n int, kinds ...exchangeKind) [][]exchangeStep {
	var orders [][]exchangeStep
	prefixes := [][]exchangeStep{nil}
	for range n {
		var longer [][]exchangeStep
		for _, prefix := range prefixes {
			for _, kind := range kinds {
				for _, r := range allResponses() {
					orders = append(orders, append(slices.Clone(prefix), exchangeStep{kind, r}))
				}
				for _, r := range keepOpen() {
					longer = append(longer, append(slices.Clone(prefix), exchangeStep{kind, r}))
				}
			}
		}
		prefixes = longer
	}
	return orders
}

// playOrders plays all orders, several at a time, and reports the first that fails of each worker.
func playOrders(t *testing.T, orders [][]exchangeStep) {
	t.Helper()
	const workers = 8
	var wg sync.WaitGroup
	for w := range workers {
		trial := &exchangeTrial{target: startScriptedTarget(t)}
		wg.Go(func() {
			for i := w; i < len(orders); i += workers {
				if err := trial.play(t.Context(), orders[i]); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d orders", len(orders))
}
