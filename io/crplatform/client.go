package crplatform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// maxPages bounds the list to 64 MB. 5,500 instances take 2 MB.
const maxPages = 64

// errListChanged means that the list changed between the requests for two of its pages.
var errListChanged = errors.New("the list changed while it was read")

// Client is a client of the platform's HTTP API. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ Port = (*Client)(nil)

// Option configures a client.
type Option func(*Client)

// WithTransport sets the transport, such as one with TLS settings.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// NewClient returns a client of the platform at a base URL.
func NewClient(base string, opts ...Option) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, oops.Errorf("platform address %q: give a URL such as http://127.0.0.1:7400", base)
	}
	c := &Client{
		base: strings.TrimRight(base, "/"),
		http: &http.Client{
			Transport: http.DefaultTransport.(*http.Transport).Clone(),
			// A redirect would be a second call, which could exceed the budget for calls.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Watch implements [Port].
func (c *Client) Watch(ctx context.Context, after crid.Revision, wait time.Duration) (crconfig.Head, error) {
	query := url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {wait.String()},
	}
	var head crconfig.Head
	if err := c.getJSON(ctx, "/v1/watch?"+query.Encode(), &head); err != nil {
		return crconfig.Head{}, err
	}
	if head.Rev < after {
		return head, oops.Wrapf(ErrStale, "revision %d after %d", head.Rev, after)
	}
	return head, nil
}

// Value implements [Port].
func (c *Client) Value(ctx context.Context, name string, digest crconfig.Digest) ([]byte, error) {
	data, err := c.get(ctx, "/v1/value/"+name+"?digest="+digest.String())
	if err != nil {
		return nil, err
	}
	if crconfig.DigestOf(data) != digest {
		return nil, oops.Wrapf(ErrStale, "value %s does not match the digest", name)
	}
	return data, nil
}

// Instances implements [Port]. It reads the list once more if it changed between two
// pages.
func (c *Client) Instances(ctx context.Context) (crinstance.List, error) {
	list, err := c.readPages(ctx)
	if errors.Is(err, errListChanged) {
		list, err = c.readPages(ctx)
	}
	if errors.Is(err, errListChanged) {
		return crinstance.List{}, oops.Wrapf(ErrUnavailable, "%v", err)
	}
	return list, err
}

func (c *Client) readPages(ctx context.Context) (crinstance.List, error) {
	var (
		all   []crinstance.Instance
		rev   crid.Revision
		after crid.Daemon
	)
	for n := range maxPages {
		var page Page
		if err := c.getJSON(ctx, "/v1/instances?after="+url.QueryEscape(string(after)), &page); err != nil {
			return crinstance.List{}, err
		}
		if n > 0 && page.Rev != rev {
			return crinstance.List{}, errListChanged
		}
		rev = page.Rev
		all = append(all, page.Instances...)
		if page.Next == "" {
			return crinstance.NewList(rev, all), nil
		}
		after = page.Next
	}
	return crinstance.List{}, oops.Wrapf(ErrTooLarge, "more than %d pages of instances", maxPages)
}

func (c *Client) getJSON(ctx context.Context, path string, v any) error {
	data, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return oops.Wrapf(ErrUnavailable, "invalid response: %v", err)
	}
	return nil
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return nil, oops.Wrapf(err, "create the request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, oops.Wrapf(ErrUnavailable, "%v", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, oops.Wrapf(ErrNotFound, "%s", req.URL.Path)
	default:
		return nil, oops.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, crconfig.MaxValueSize))
	if err != nil {
		return nil, oops.Wrapf(ErrUnavailable, "%v", err)
	}
	if len(data) >= crconfig.MaxValueSize {
		return nil, oops.Wrapf(ErrTooLarge, "%s", req.URL.Path)
	}
	return data, nil
}
