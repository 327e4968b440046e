// Package callerhttp serves the caller interface over HTTP.
package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// maxNameBytes bounds names in requests; longer ones would only cost memory
	// in queues and logs.
	maxNameBytes = 256
	// maxDeadlineMS is the longest deadline that a caller may state.
	maxDeadlineMS = 10 * 60 * 1000

	ordersPath = "/v1/orders"
)

// Handler answers callers' requests.
type Handler interface {
	Query(ctx context.Context, q model.Query) model.Answer
	IssueTicket(spec order.Spec) (order.Ticket, time.Duration, error)
	SubmitOrder(ctx context.Context, o port.OrderSubmission) port.OrderAnswer
}

// Config limits what callers may send.
type Config struct {
	MaxBodyBytes  int64
	MaxConcurrent int
	// RetryDelay returns the delay to suggest when the instance is at its
	// concurrency limit.
	RetryDelay func() time.Duration
}

type server struct {
	handler Handler
	clock   port.Clock
	cfg     Config
	slots   chan struct{}
}

// NewServer returns an HTTP server for the caller listener.
func NewServer(handler Handler, clock port.Clock, cfg Config) *http.Server {
	return &http.Server{
		Handler:           NewHandler(handler, clock, cfg),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// NewHandler returns the HTTP handler of the caller interface.
func NewHandler(handler Handler, clock port.Clock, cfg Config) http.Handler {
	s := &server{handler: handler, clock: clock, cfg: cfg, slots: make(chan struct{}, cfg.MaxConcurrent)}
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(s.limitConcurrency)
	engine.POST("/v1/query", s.query)
	engine.POST("/v1/orders/ticket", s.ticket)
	engine.POST(ordersPath, s.order)
	return engine
}

func (s *server) limitConcurrency(c *gin.Context) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
		c.Next()
	default:
		ran := model.NotRun
		if c.FullPath() == ordersPath {
			// An earlier submission of the same ticket may have run.
			ran = model.RunUnknown
		}
		st := newStatus(result.ConcurrencyLimit, ran, s.cfg.RetryDelay(), "the instance is at its limit of concurrent requests")
		s.write(c, st, st)
		c.Abort()
	}
}

func (s *server) write(c *gin.Context, st Status, body any) {
	if st.RetryAfterMS > 0 {
		c.Header("Retry-After", strconv.FormatInt((st.RetryAfterMS+999)/1000, 10))
	}
	c.JSON(httpStatus(result.Code(st.Code)), body)
}

// read decodes the body strictly into v.
func (s *server) read(c *gin.Context, v any) error {
	body := http.MaxBytesReader(c.Writer, c.Request.Body, s.cfg.MaxBodyBytes)
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return bodyError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return result.Errorf(result.BadRequest, "the body has data after the JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return result.Errorf(result.BadRequest, "the body is not valid: %v", err)
}

func checkNames(names ...string) error {
	for _, n := range names {
		if len(n) > maxNameBytes {
			return result.Errorf(result.BadRequest, "a name is longer than %d bytes", maxNameBytes)
		}
	}
	return nil
}

// deadlineAfter returns the deadline of a request that arrived at the given
// time, or the zero time if the caller stated none.
func deadlineAfter(arrived time.Time, ms int64) (time.Time, error) {
	if ms < 0 || ms > maxDeadlineMS {
		return time.Time{}, result.Errorf(result.DeadlineOutOfBounds, "deadline_ms %d is outside 0 to %d", ms, maxDeadlineMS)
	}
	if ms == 0 {
		return time.Time{}, nil
	}
	return arrived.Add(time.Duration(ms) * time.Millisecond), nil
}

func (s *server) query(c *gin.Context) {
	q, err := s.readQuery(c)
	if err != nil {
		st := refusal(err)
		s.write(c, st, QueryAnswer{Status: st, Results: []ResultBody{}})
		return
	}
	answer := queryAnswer(s.handler.Query(c.Request.Context(), q))
	s.write(c, answer.Status, answer)
}

func (s *server) readQuery(c *gin.Context) (model.Query, error) {
	// The deadline counts from arrival, so it is taken before the body is read.
	arrived := s.clock.Now()
	var r QueryRequest
	if err := s.read(c, &r); err != nil {
		return model.Query{}, err
	}
	if err := checkNames(r.Service, r.Operation, r.Priority, r.Caller); err != nil {
		return model.Query{}, err
	}
	deadline, err := deadlineAfter(arrived, r.DeadlineMS)
	if err != nil {
		return model.Query{}, err
	}
	return model.Query{
		Service:       r.Service,
		Operation:     r.Operation,
		Priority:      r.Priority,
		Caller:        model.CallerID(r.Caller),
		Payload:       r.Payload,
		Shards:        r.Shards,
		LeastCoverage: r.LeastCoverage,
		Deadline:      deadline,
	}, nil
}

func (s *server) ticket(c *gin.Context) {
	var r TicketRequest
	err := s.read(c, &r)
	if err == nil {
		err = checkNames(r.Service, r.Operation, r.Caller, r.Key)
	}
	if err != nil {
		st := refusal(err)
		s.write(c, st, TicketAnswer{Status: st})
		return
	}
	ticket, left, err := s.handler.IssueTicket(order.Spec{
		Service:   r.Service,
		Operation: r.Operation,
		Caller:    model.CallerID(r.Caller),
		Key:       r.Key,
		Validity:  time.Duration(r.ValidMS) * time.Millisecond,
	})
	if err != nil {
		st := refusal(err)
		if result.CodeOf(err)/1000 == 3 {
			st.RetryAfterMS = ceilMS(s.cfg.RetryDelay())
		}
		s.write(c, st, TicketAnswer{Status: st})
		return
	}
	st := newStatus(result.OK, model.NotRun, 0, "")
	s.write(c, st, TicketAnswer{Status: st, Ticket: ticket.String(), ExpiresInMS: left.Milliseconds()})
}

func (s *server) order(c *gin.Context) {
	var r OrderRequest
	deadline, err := s.readOrder(c, &r)
	if err != nil {
		st := refusal(err)
		s.write(c, st, OrderAnswer{Status: st})
		return
	}
	// The order goes on when the caller goes away: its outcome is recorded for
	// a repeated submission.
	ctx := context.WithoutCancel(c.Request.Context())
	answer := orderAnswer(s.handler.SubmitOrder(ctx, port.OrderSubmission{
		Ticket:    r.Ticket,
		Service:   r.Service,
		Operation: r.Operation,
		Priority:  r.Priority,
		Caller:    model.CallerID(r.Caller),
		Payload:   r.Payload,
		Shard:     r.Shard,
		Deadline:  deadline,
	}))
	s.write(c, answer.Status, answer)
}

func (s *server) readOrder(c *gin.Context, r *OrderRequest) (time.Time, error) {
	arrived := s.clock.Now()
	if err := s.read(c, r); err != nil {
		return time.Time{}, err
	}
	if err := checkNames(r.Service, r.Operation, r.Priority, r.Caller, string(r.Shard)); err != nil {
		return time.Time{}, err
	}
	if r.Ticket == "" {
		return time.Time{}, result.Errorf(result.TicketRequired, "an order needs a ticket from /v1/orders/ticket")
	}
	return deadlineAfter(arrived, r.DeadlineMS)
}
