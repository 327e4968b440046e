package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/sardineturn/sardineturn/pkg/result"
)

// maxResponseBytes limits the part of a response body that is read. The status
// of an instance in a fleet of 3,100 members is about 1 MB.
const maxResponseBytes = 64 << 20

// operatorFlags are the flags of commands that read from an instance's operator
// listener.
type operatorFlags struct {
	Operator string        `default:"127.0.0.1:7004" placeholder:"IP:PORT" help:"Operator listener of the instance (${default})."`
	Timeout  time.Duration `default:"10s" placeholder:"DURATION" help:"Time to wait for the answer (${default})."`
}

type statusCommand struct {
	operatorFlags `embed:""`
}

// Help returns the text that --help adds to the list of flags.
func (*statusCommand) Help() string {
	return `Prints the instance's own view in JSON: its members, the documents in force,
queues and upstreams.

Example:

    sardineturn status --operator 127.0.0.1:7004`
}

// Run prints the instance's status.
func (c *statusCommand) Run(ctx context.Context, p *Program) error {
	return c.getAndPrint(ctx, p, "/status", nil)
}

type explainCommand struct {
	operatorFlags `embed:""`
	Service       string `placeholder:"NAME" help:"Service of the request."`
	Priority      string `placeholder:"NAME" help:"Priority of the request."`
	Shard         string `placeholder:"ID" help:"Shard of the request."`
	Host          string `placeholder:"HOST" help:"Host of a request to a gateway, instead of a service."`
	Path          string `placeholder:"PATH" help:"Path of the request to the gateway."`
	Method        string `placeholder:"METHOD" help:"Method of the request to the gateway; GET if absent."`
	Size          *int64 `placeholder:"BYTES" help:"Size of the request's body; not known if absent."`
	Repeated      bool   `help:"The caller has sent the request before."`
	All           bool   `help:"List all parts of a query in full, not just those that something is unusual about."`
}

// Help returns the text that --help adds to the list of flags.
func (*explainCommand) Help() string {
	return `Prints where a request would run and whether it would be admitted now. No
request is sent to an upstream, and nothing is changed.

With --service, for an instance started with "serve": the scheduling group, the
group's home, queue and credit, and the replicas of the shard; for a gateway: the
upstreams of the service.

With --host and --path, for a gateway: the route, whether the request would be
refused, whether another instance would run it, and for each part the upstreams
with their costs, the reasons against them, and the one that would be chosen.

Example:

    sardineturn explain --service fitting-desk-01 --priority counter --shard s01
    sardineturn explain --host a.example --path /search/`
}

// Validate is called by the parser.
func (c *explainCommand) Validate() error {
	request := c.Host != "" || c.Path != "" || c.Method != "" || c.Size != nil || c.Repeated || c.All
	switch {
	case c.Service == "" && !request:
		return errors.New("--service, or --host and --path, are required")
	case !request:
		return nil
	case c.Service != "" || c.Priority != "" || c.Shard != "":
		return errors.New("--service, --priority and --shard cannot be used with the flags of a request to a gateway")
	case c.Host == "" || !strings.HasPrefix(c.Path, "/"):
		return errors.New("--host and --path are required, and the path begins with a slash")
	case c.Size != nil && *c.Size < 0:
		return errors.New("--size is a number of bytes")
	default:
		return nil
	}
}

// Run prints the instance's explanation of how it would serve the request.
func (c *explainCommand) Run(ctx context.Context, p *Program) error {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set("service", c.Service)
	set("priority", c.Priority)
	set("shard", c.Shard)
	set("host", c.Host)
	set("path", c.Path)
	set("method", c.Method)
	if c.Size != nil {
		set("size", strconv.FormatInt(*c.Size, 10))
	}
	if c.Repeated {
		set("repeated", "true")
	}
	if c.All {
		set("all", "true")
	}
	return c.getAndPrint(ctx, p, "/explain", values)
}

// getAndPrint requests a path of the operator listener and prints the response.
// It returns an error unless the HTTP status is 200.
func (f operatorFlags) getAndPrint(ctx context.Context, p *Program, path string, values url.Values) error {
	target := baseURL(f.Operator) + path
	if len(values) > 0 {
		target += "?" + values.Encode()
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	status, body, err := p.send(req)
	if err != nil {
		return err
	}
	p.printJSON(body)
	if status != http.StatusOK {
		return fmt.Errorf("%s answered with HTTP status %d", target, status)
	}
	return nil
}

type queryCommand struct {
	Address       string        `default:"127.0.0.1:7003" placeholder:"IP:PORT" help:"Caller listener of the instance (${default})."`
	Timeout       time.Duration `default:"30s" placeholder:"DURATION" help:"Time to wait for the answer (${default})."`
	Service       string        `required:"" placeholder:"NAME" help:"Service to query."`
	Operation     string        `required:"" placeholder:"NAME" help:"Idempotent operation of the service."`
	Priority      string        `required:"" placeholder:"NAME" help:"Priority of the query."`
	Caller        string        `default:"sardineturn-cli" placeholder:"NAME" help:"Name of the caller (${default})."`
	DeadlineMS    *int          `name:"deadline-ms" placeholder:"MS" help:"Time until the answer is needed; the priority's deadline if absent."`
	Shards        []string      `placeholder:"ID" help:"Wanted shards, separated by commas; all if absent."`
	LeastCoverage *float64      `placeholder:"FRACTION" help:"Coverage below which an answer is of no use; the priority's value if absent."`
	Payload       string        `default:"{}" placeholder:"JSON" help:"Payload for the upstreams (${default})."`
}

// Help returns the text that --help adds to the list of flags.
func (*queryCommand) Help() string {
	return `Prints the answer in JSON. The exit code is 0 if there is an answer, also a
partial one, and 1 otherwise.

Example:

    sardineturn query --service fitting-desk-01 --operation search --priority counter --payload '{"size":42}'`
}

// queryRequest is the body of POST /v1/query.
type queryRequest struct {
	Service       string          `json:"service"`
	Operation     string          `json:"operation"`
	Priority      string          `json:"priority"`
	Caller        string          `json:"caller"`
	DeadlineMS    *int            `json:"deadline_ms,omitempty"`
	Shards        []string        `json:"shards,omitempty"`
	LeastCoverage *float64        `json:"least_coverage,omitempty"`
	Payload       json.RawMessage `json:"payload"`
}

// Run sends the query and prints the answer. It returns an error unless the answer is
// complete or partial.
func (c *queryCommand) Run(ctx context.Context, p *Program) error {
	if !json.Valid([]byte(c.Payload)) {
		return fmt.Errorf("the payload is not JSON: %s", c.Payload)
	}
	body, err := json.Marshal(queryRequest{
		Service: c.Service, Operation: c.Operation, Priority: c.Priority, Caller: c.Caller,
		DeadlineMS: c.DeadlineMS, Shards: c.Shards, LeastCoverage: c.LeastCoverage,
		Payload: json.RawMessage(c.Payload),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	target := baseURL(c.Address) + "/v1/query"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	status, answer, err := p.send(req)
	if err != nil {
		return err
	}
	p.printJSON(answer)
	return answerError(target, status, answer)
}

// answerError returns nil if the answer is complete or partial. Otherwise it returns
// an error that names the result code or, if the body has none, the HTTP status.
func answerError(target string, status int, body []byte) error {
	var answer struct {
		Code   result.Code `json:"code"`
		Ran    string      `json:"ran"`
		Detail string      `json:"detail"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Code == 0 {
		return fmt.Errorf("%s answered with HTTP status %d and no result code", target, status)
	}
	if answer.Code == result.OK || answer.Code == result.PartialAnswer {
		return nil
	}
	return fmt.Errorf("no answer: code %d (%s), ran: %s %s", answer.Code, answer.Code, answer.Ran, answer.Detail)
}

// send sends the request and returns the HTTP status and the body of the response.
func (p *Program) send(req *http.Request) (int, []byte, error) {
	resp, err := p.client().Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, err
}

// printJSON prints the body, with indentation if it is JSON and unchanged otherwise.
func (p *Program) printJSON(body []byte) {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		out.Reset()
		out.Write(body)
	}
	p.printf("%s\n", strings.TrimRight(out.String(), "\n"))
}

// baseURL returns the address as a URL; an address without a scheme gets http.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimRight(address, "/")
	}
	return "http://" + address
}
