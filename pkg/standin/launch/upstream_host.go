package launch

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/standin/platform"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// UpstreamHost is a process that runs all upstreams of one service. Its tagged fields
// are decoded from the line that the process prints when it is ready.
type UpstreamHost struct {
	*Process
	Service Service
	// Admin is the "ip:port" of the admin listener.
	Admin     string                  `json:"admin"`
	Upstreams []upstream.NamedAddress `json:"upstreams"`
	// Document is the service's document as it was written last.
	Document document.Document
}

// StartService starts the service's upstreams in one process, tells each upstream
// which shards it holds, adds the upstreams to the platform's list, and writes the
// service's document with revision 1.
func (f *Fleet) StartService(ctx context.Context, s Service) (*UpstreamHost, error) {
	behaviour, err := json.Marshal(s.Behaviour())
	if err != nil {
		return nil, err
	}
	h := &UpstreamHost{Service: s}
	args := []string{
		"upstream",
		"--count=" + strconv.Itoa(s.Upstreams),
		"--prefix=" + s.Name + "-u",
		"--seed=" + strconv.FormatUint(f.config.Seed, 10),
		"--behaviour=" + string(behaviour),
	}
	h.Process, err = f.start(ctx, "upstream-"+s.Name, f.config.Standin, args, h)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	h.Document = s.Document(1, "v1", h.Upstreams)
	for _, u := range h.Upstreams {
		path := "/admin/index?upstream=" + url.QueryEscape(u.Name)
		if err := PostJSON(ctx, h.Admin, path, HeldShards(h.Document, u.Name), nil); err != nil {
			return nil, err
		}
		if err := f.SetUpstreamEntry(ctx, u.Address, false); err != nil {
			return nil, err
		}
	}
	return h, f.WriteDocument(ctx, h.Document)
}

// WriteDocument writes a document to the platform, as the service's owner would.
func (f *Fleet) WriteDocument(ctx context.Context, d document.Document) error {
	return PostJSON(ctx, f.PlatformAdmin, "/admin/documents", d, nil)
}

// ChangeDocument applies change to h.Document, raises its revision by one and writes
// it to the platform.
func (f *Fleet) ChangeDocument(ctx context.Context, h *UpstreamHost, change func(*document.Document)) error {
	change(&h.Document)
	h.Document.Revision++
	return f.WriteDocument(ctx, h.Document)
}

// SetUpstreamEntry adds an upstream's entry to the platform's upstream list or
// replaces it.
func (f *Fleet) SetUpstreamEntry(ctx context.Context, address string, leaving bool) error {
	return PostJSON(ctx, f.PlatformAdmin, "/admin/upstreams", platform.Upstream{Address: address, Leaving: leaving}, nil)
}

// SetFaults sends faults as the JSON body of POST /admin/faults to the named upstream.
// Settings and faults that are absent in it keep their values. An empty name means all
// upstreams of the process.
func (h *UpstreamHost) SetFaults(ctx context.Context, name string, faults any) error {
	path := "/admin/faults"
	if name != "" {
		path += "?upstream=" + url.QueryEscape(name)
	}
	return PostJSON(ctx, h.Admin, path, faults, nil)
}
