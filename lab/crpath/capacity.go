package crpath

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// concurrency is the number of requests in flight while the capacity is measured. A
// higher one raises the latency and not the throughput.
const concurrency = 64

// capacity measures the throughput of two hops in a closed loop, in requests per second,
// after a warm-up. The load generator and all other processes share the machine.
func (b *bench) capacity(ctx context.Context) (float64, error) {
	if _, err := b.closedLoop(ctx, capacityTime); err != nil {
		return 0, err
	}
	return b.closedLoop(ctx, capacityTime)
}

func (b *bench) closedLoop(ctx context.Context, length time.Duration) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: concurrency, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var answered atomic.Int64
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for ctx.Err() == nil {
				if b.call(ctx, client) {
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if answered.Load() == 0 {
		return 0, ErrNoCapacity
	}
	return float64(answered.Load()) / length.Seconds(), nil
}

func (b *bench) call(ctx context.Context, client *http.Client) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url(TwoHops)+"/kits/rover-7", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+b.account.Key())
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
