// Package httpstore is the HTTP client of the platform's object store.
//
//	GET    /v1/objects/{key}                  200 with ETag, or 404
//	PUT    /v1/objects/{key}                  If-Match or If-None-Match: *; 200 with ETag, 412 or 413
//	DELETE /v1/objects/{key}                  If-Match; 204 or 412
//	GET    /v1/objects?prefix=                200 with a Changes body
//	GET    /v1/watch?prefix=&after=&wait=     200 with a Changes body, after at most wait
//
// An ETag is the object's version in quotes. The client never retries a call that may have
// taken effect.
package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

const (
	// DefaultCallTimeout bounds one call; the store usually responds in milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchMargin is the part of the time until the deadline that a watch reserves for the response.
	DefaultWatchMargin = time.Second
	// DefaultWatchWait is how long the store is asked to hold a watch open if nothing changes.
	DefaultWatchWait = 10 * time.Second
	// maxBodyBytes bounds the body of a listing or a watch. 2,100 status objects of 1 KB need
	// 3 MB in base64.
	maxBodyBytes = 64 << 20
)

// ErrUnavailable reports that the store returned a server error or did not respond. A Put or
// Delete that failed with it may have taken effect.
var ErrUnavailable = errors.New("store is not available; the call may have taken effect, read the object back before repeating it")

// ErrStale reports a watch response from a copy of the data older than the revision to continue
// from. Such a response doesn't prove that nothing changed.
var ErrStale = errors.New("store answered from an old copy; repeat the watch")

// Config configures a Client. Durations of zero or less are replaced by the defaults.
type Config struct {
	BaseURL     string // such as http://10.0.0.5:8080
	CallTimeout time.Duration
	WatchMargin time.Duration
	WatchWait   time.Duration
	Transport   http.RoundTripper // nil: a private transport without proxy
}

// Client implements objectstore.Store. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

var _ objectstore.Store = (*Client)(nil)

// New validates the address and returns a client; it doesn't connect yet.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.BaseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.Newf("store address %q is not valid; write it as http://IP:port", cfg.BaseURL)
	}
	cfg.BaseURL = strings.TrimSuffix(cfg.BaseURL, "/")
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.WatchMargin <= 0 {
		cfg.WatchMargin = DefaultWatchMargin
	}
	if cfg.WatchWait <= 0 {
		cfg.WatchWait = DefaultWatchWait
	}
	if cfg.Transport == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.Proxy = nil // the store is reached directly, by its IP address
		cfg.Transport = transport
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: cfg.Transport}}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, key string) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	resp, err := c.doObject(ctx, http.MethodGet, key, nil, nil)
	if err != nil {
		return objectstore.Object{}, err
	}
	defer drainBody(resp)
	version, err := ParseETag(resp.Header.Get("ETag"))
	if err != nil {
		return objectstore.Object{}, err
	}
	value, err := readBody(resp, objectstore.MaxValueBytes)
	if err != nil {
		return objectstore.Object{}, err
	}
	return objectstore.Object{Key: key, Value: value, Version: version}, nil
}

// Put implements objectstore.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > objectstore.MaxValueBytes {
		return 0, errors.Wrapf(objectstore.ErrTooLarge, "key %q, %d bytes", key, len(value))
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	resp, err := c.doObject(ctx, http.MethodPut, key, value, preconditionHeader(ifVersion))
	if err != nil {
		return 0, err
	}
	defer drainBody(resp)
	return ParseETag(resp.Header.Get("ETag"))
}

// Delete implements objectstore.Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	header := http.Header{"If-Match": {FormatETag(ifVersion)}}
	resp, err := c.doObject(ctx, http.MethodDelete, key, nil, header)
	if err != nil {
		return err
	}
	drainBody(resp)
	return nil
}

// List implements objectstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]objectstore.Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	body, err := c.getChanges(ctx, ObjectsPath, url.Values{ParamPrefix: {prefix}})
	if err != nil {
		return nil, 0, err
	}
	return body.objects(), body.Revision, nil
}

// Watch implements objectstore.Store. It asks the store to respond before the deadline of ctx. If
// the store has not responded by then, it returns an error, so that an unresponsive connection is
// closed and doesn't count as contact with the store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]objectstore.Object, uint64, error) {
	wait := c.watchWait(ctx)
	ctx, cancel := context.WithTimeout(ctx, wait+c.cfg.WatchMargin)
	defer cancel()
	query := url.Values{
		ParamPrefix: {prefix},
		ParamAfter:  {strconv.FormatUint(after, 10)},
		ParamWait:   {wait.String()},
	}
	body, err := c.getChanges(ctx, WatchPath, query)
	if err != nil {
		return nil, after, err
	}
	if body.Revision < after {
		return nil, after, errors.Wrapf(ErrStale, "revision %d after %d", body.Revision, after)
	}
	return body.objects(), body.Revision, nil
}

// watchWait returns how long the store may hold a watch open. It reserves WatchMargin before the deadline of ctx for
// the response.
func (c *Client) watchWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.cfg.WatchWait
	}
	wait := time.Until(deadline) - c.cfg.WatchMargin
	return min(max(wait, 0), c.cfg.WatchWait)
}

func preconditionHeader(ifVersion uint64) http.Header {
	if ifVersion == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {FormatETag(ifVersion)}}
}

func (c *Client) doObject(ctx context.Context, method, key string, value []byte, header http.Header) (*http.Response, error) {
	path, err := objectPath(key)
	if err != nil {
		return nil, err
	}
	resp, err := c.do(ctx, method, path, value, header)
	return resp, errors.Wrapf(err, "%s %s", method, key)
}

func (c *Client) getChanges(ctx context.Context, path string, query url.Values) (Changes, error) {
	resp, err := c.do(ctx, http.MethodGet, path+"?"+query.Encode(), nil, nil)
	if err != nil {
		return Changes{}, errors.Wrapf(err, "%s of prefix %q", path, query.Get(ParamPrefix))
	}
	defer drainBody(resp)
	data, err := readBody(resp, maxBodyBytes)
	if err != nil {
		return Changes{}, err
	}
	var body Changes
	if err := json.Unmarshal(data, &body); err != nil {
		return Changes{}, errors.Wrap(err, "answer of the store is not valid JSON; check that the address is that of the store")
	}
	return body, nil
}

// do sends one request and converts every status other than success into an error.
func (c *Client) do(ctx context.Context, method, pathAndQuery string, value []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+pathAndQuery, bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "store request is not valid; check the store's address")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unavailable("store did not answer", err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		drainBody(resp)
		return nil, err
	}
	return resp, nil
}

func statusError(status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return objectstore.ErrNotFound
	case status == http.StatusPreconditionFailed:
		return objectstore.ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return objectstore.ErrTooLarge
	case status >= 500 || status == http.StatusTooManyRequests:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	return errors.Newf("store refused the request with status %d; check that the address is that of the store", status)
}

// unavailable returns an error that wraps both the cause and ErrUnavailable.
func unavailable(problem string, cause error) error {
	return fmt.Errorf("%s: %w; %w", problem, cause, ErrUnavailable)
}

func readBody(resp *http.Response, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, unavailable("answer of the store broke off", err)
	}
	if int64(len(data)) > limit {
		return nil, errors.Newf("answer of the store exceeds %d bytes; check that the address is that of the store", limit)
	}
	return data, nil
}

// drainBody reads a short remainder of the body, so that the connection can be reused, and closes it.
func drainBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	_ = resp.Body.Close()
}
