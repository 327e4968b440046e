// Package platformhttp reads service documents and the list of instances from the
// platform over HTTP. It implements port.Platform. docs/interfaces.md describes the
// requests and answers.
package platformhttp

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// maxAnswerBytes leaves room for the escaping of quotes in an answer of 4 MiB.
	maxAnswerBytes = 16 << 20
	dialTimeout    = 2 * time.Second
	tcpKeepAlive   = 15 * time.Second
	idleTimeout    = 5 * time.Minute
	// maxConnections allows one connection for a watch, one for a read of the
	// documents or the instance list, and one for a watch that is being replaced.
	maxConnections = 3
	// answerGrace is how long an answer may take in addition to the wait that the
	// request asks for.
	answerGrace = 5 * time.Second
)

// Client reads from the platform at one URL.
type Client struct {
	baseURL string
	http    *http.Client
}

var _ port.Platform = (*Client)(nil)

// New returns a client for the platform at the given URL.
func New(baseURL string) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAlive}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		Protocols:           protocols,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type documentsAnswer struct {
	Version   *uint64 `json:"version"`
	Documents []struct {
		Service string `json:"service"`
		Version uint64 `json:"version"`
		Content string `json:"content"`
	} `json:"documents"`
}

type instancesAnswer struct {
	Instances *[]struct {
		ID             model.InstanceID `json:"id"`
		ControlAddress string           `json:"control_address"`
		DataCentre     model.DataCentre `json:"data_centre"`
		Leaving        bool             `json:"leaving"`
	} `json:"instances"`
	Upstreams []struct {
		Address string `json:"address"`
		Leaving bool   `json:"leaving"`
	} `json:"upstreams"`
}

// ReadDocuments implements port.Platform. The returned version may be lower than
// since if the platform has gone back to an older state.
func (c *Client) ReadDocuments(ctx context.Context, since uint64, wait time.Duration) (port.DocumentBatch, error) {
	query := url.Values{}
	query.Set("since", strconv.FormatUint(since, 10))
	if wait > 0 {
		query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	body, err := c.get(ctx, "/v1/documents?"+query.Encode(), wait+answerGrace)
	if err != nil {
		return port.DocumentBatch{}, err
	}
	return parseDocuments(body)
}

// ReadInstances implements port.Platform.
func (c *Client) ReadInstances(ctx context.Context) (port.InstanceList, error) {
	body, err := c.get(ctx, "/v1/instances", answerGrace)
	if err != nil {
		return port.InstanceList{}, err
	}
	return parseInstances(body)
}

func (c *Client) get(ctx context.Context, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		return nil, result.Errorf(result.Overloaded, "platform limits the read rate")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, result.Errorf(result.Internal, "platform answered status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	if len(body) > maxAnswerBytes {
		return nil, result.Errorf(result.Internal, "platform answer exceeds %d bytes", maxAnswerBytes)
	}
	return body, nil
}

func parseDocuments(body []byte) (port.DocumentBatch, error) {
	var a documentsAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return port.DocumentBatch{}, result.Wrap(result.Internal, err)
	}
	if a.Version == nil {
		return port.DocumentBatch{}, result.Errorf(result.Internal, "platform answer has no version")
	}
	batch := port.DocumentBatch{Version: *a.Version}
	for _, d := range a.Documents {
		switch {
		case d.Service == "":
			return port.DocumentBatch{}, result.Errorf(result.Internal, "platform answer has a document without a service")
		case d.Version > *a.Version:
			return port.DocumentBatch{}, result.Errorf(result.Internal, "document %s has version %d, after the answer's %d", d.Service, d.Version, *a.Version)
		case len(d.Content) > document.MaxBytes:
			return port.DocumentBatch{}, result.Errorf(result.Internal, "document %s exceeds %d bytes", d.Service, document.MaxBytes)
		}
		batch.Documents = append(batch.Documents, port.RawDocument{Service: d.Service, Content: []byte(d.Content)})
	}
	return batch, nil
}

func parseInstances(body []byte) (port.InstanceList, error) {
	var a instancesAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return port.InstanceList{}, result.Wrap(result.Internal, err)
	}
	if a.Instances == nil {
		return port.InstanceList{}, result.Errorf(result.Internal, "platform answer has no instance list")
	}
	var list port.InstanceList
	for _, i := range *a.Instances {
		if i.ID == "" || i.ControlAddress == "" {
			return port.InstanceList{}, result.Errorf(result.Internal, "listed instance has no id or no control address")
		}
		list.Instances = append(list.Instances, port.ListedInstance(i))
	}
	for _, u := range a.Upstreams {
		if u.Address == "" {
			return port.InstanceList{}, result.Errorf(result.Internal, "listed upstream has no address")
		}
		list.Upstreams = append(list.Upstreams, port.ListedUpstream(u))
	}
	return list, nil
}
