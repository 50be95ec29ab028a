package crserver_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/io/crserver"
)

// serve serves a handler on loopback until the test ends, and returns the server and its address.
func serve(t *testing.T, h http.HandlerFunc) (*http.Server, string) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := crserver.New(h)
	go func() { _ = s.Serve(crserver.Guard(l)) }() // returns when the test closes the server
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

func get(t *testing.T, client *http.Transport, address string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a connection that is closed as idle when its request has just been read.
func TestConnectionIsNotClosedUnderARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		g.Expect(crserver.ConnOf(r.Context()).Close()).To(gomega.Succeed()) // as http.Server does when it takes the connection for idle
		_, _ = io.WriteString(w, "served")
	})
	client := &http.Transport{}
	defer client.CloseIdleConnections()
	body, err := get(t, client, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("served"))
}

// Guards against requests that run and get no response while a server stops.
func TestStoppingServerAnswersWhatItHasStarted(t *testing.T) {
	const rounds, callers = 300, 6
	for range rounds {
		var started, answered sync.Map
		s, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			started.Store(r.Header.Get("Request-Id"), true)
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(w, "served")
		})
		var wg sync.WaitGroup
		ctx, stop := context.WithCancel(t.Context())
		for caller := range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				callUntilStopped(ctx, address, caller, &answered)
			}()
		}
		time.Sleep(8 * time.Millisecond)
		s.SetKeepAlivesEnabled(false)
		time.Sleep(3 * time.Millisecond)
		stop()
		shutdownCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		err := s.Shutdown(shutdownCtx)
		cancel()
		wg.Wait()
		if err != nil {
			t.Fatal(err)
		}
		started.Range(func(id, _ any) bool {
			if _, ok := answered.Load(id); !ok {
				t.Errorf("request %v ran and got no response", id)
			}
			return true
		})
	}
}

// callUntilStopped sends requests on one kept connection until ctx ends or the connection does.
func callUntilStopped(ctx context.Context, address string, caller int, answered *sync.Map) {
	client := &http.Transport{MaxIdleConnsPerHost: 1}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := strconv.Itoa(caller) + "-" + strconv.Itoa(n)
		req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, "http://"+address+"/", nil)
		if err != nil {
			return
		}
		req.Header.Set("Request-Id", id)
		resp, err := client.RoundTrip(req)
		if err != nil {
			return
		}
		_, err = io.ReadAll(resp.Body)
		if errors.Join(err, resp.Body.Close()) != nil {
			return
		}
		answered.Store(id, true)
	}
}
