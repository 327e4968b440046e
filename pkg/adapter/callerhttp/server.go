// Package callerhttp serves the queries, orders and ticket requests of callers over
// HTTP.
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
	// maxNameBytes is the maximum length of names in requests, because long names
	// would take memory in queues and logs.
	maxNameBytes = 256
	// maxDeadlineMS is the longest deadline that a caller may state (10 min).
	maxDeadlineMS = 10 * 60 * 1000

	ordersPath = "/v1/orders"
)

// Handler answers the requests of callers.
type Handler interface {
	Query(ctx context.Context, q model.Query) model.Answer
	IssueTicket(spec order.Spec) (order.Ticket, time.Duration, error)
	SubmitOrder(ctx context.Context, o port.OrderSubmission) port.OrderAnswer
}

// Config holds the limits on callers' requests.
type Config struct {
	MaxBodyBytes  int64
	MaxConcurrent int
	// RetryDelay returns the delay after which a caller may retry a request that was
	// refused because the instance is at a limit.
	RetryDelay func() time.Duration
}

type server struct {
	handler    Handler
	clock      port.Clock
	cfg        Config
	inProgress chan struct{}
}

// NewServer returns an HTTP server for the listener that callers connect to.
func NewServer(handler Handler, clock port.Clock, cfg Config) *http.Server {
	return &http.Server{
		Handler:           NewHandler(handler, clock, cfg),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// NewHandler returns the HTTP handler for callers' requests.
func NewHandler(handler Handler, clock port.Clock, cfg Config) http.Handler {
	s := &server{handler: handler, clock: clock, cfg: cfg, inProgress: make(chan struct{}, cfg.MaxConcurrent)}
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(s.limitConcurrency)
	engine.POST("/v1/query", s.query)
	engine.POST("/v1/orders/ticket", s.ticket)
	engine.POST(ordersPath, s.order)
	return engine
}

// limitConcurrency refuses a request if MaxConcurrent requests are in progress.
func (s *server) limitConcurrency(c *gin.Context) {
	select {
	case s.inProgress <- struct{}{}:
		defer func() { <-s.inProgress }()
		c.Next()
	default:
		ran := model.NotRun
		if c.FullPath() == ordersPath {
			// The same ticket may have been submitted before, and that submission may
			// have run.
			ran = model.RunUnknown
		}
		st := newStatus(result.ConcurrencyLimit, ran, s.cfg.RetryDelay(), "the instance is at its limit of concurrent requests")
		s.writeAnswer(c, st, st)
		c.Abort()
	}
}

func (s *server) writeAnswer(c *gin.Context, st Status, body any) {
	if st.RetryAfterMS > 0 {
		c.Header("Retry-After", strconv.FormatInt((st.RetryAfterMS+999)/1000, 10))
	}
	c.JSON(httpStatus(result.Code(st.Code)), body)
}

// decodeBody decodes the request's body into v. It refuses unknown fields, data
// after the JSON value, and bodies larger than MaxBodyBytes.
func (s *server) decodeBody(c *gin.Context, v any) error {
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

func checkNameLengths(names ...string) error {
	for _, n := range names {
		if len(n) > maxNameBytes {
			return result.Errorf(result.BadRequest, "a name is longer than %d bytes", maxNameBytes)
		}
	}
	return nil
}

// deadlineAfter returns the deadline of a request that arrived at the given time
// and states a deadline of ms milliseconds. It returns the zero time if ms is zero,
// which means that the caller stated none.
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
		s.writeAnswer(c, st, QueryAnswer{Status: st, Results: []ResultBody{}})
		return
	}
	answer := queryAnswer(s.handler.Query(c.Request.Context(), q))
	s.writeAnswer(c, answer.Status, answer)
}

func (s *server) readQuery(c *gin.Context) (model.Query, error) {
	// The deadline counts from the arrival of the request, so the time is taken
	// before the body is read.
	arrived := s.clock.Now()
	var r QueryRequest
	if err := s.decodeBody(c, &r); err != nil {
		return model.Query{}, err
	}
	if err := checkNameLengths(r.Service, r.Operation, r.Priority, r.Caller); err != nil {
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
	err := s.decodeBody(c, &r)
	if err == nil {
		err = checkNameLengths(r.Service, r.Operation, r.Caller, r.Key)
	}
	if err != nil {
		st := refusal(err)
		s.writeAnswer(c, st, TicketAnswer{Status: st})
		return
	}
	ticket, expiresIn, err := s.handler.IssueTicket(order.Spec{
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
		s.writeAnswer(c, st, TicketAnswer{Status: st})
		return
	}
	st := newStatus(result.OK, model.NotRun, 0, "")
	s.writeAnswer(c, st, TicketAnswer{Status: st, Ticket: ticket.String(), ExpiresInMS: expiresIn.Milliseconds()})
}

func (s *server) order(c *gin.Context) {
	var r OrderRequest
	deadline, err := s.readOrder(c, &r)
	if err != nil {
		st := refusal(err)
		s.writeAnswer(c, st, OrderAnswer{Status: st})
		return
	}
	// The order continues if the caller disconnects: its outcome is recorded, and the
	// caller gets it by submitting the order again.
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
	s.writeAnswer(c, answer.Status, answer)
}

func (s *server) readOrder(c *gin.Context, r *OrderRequest) (time.Time, error) {
	arrived := s.clock.Now()
	if err := s.decodeBody(c, r); err != nil {
		return time.Time{}, err
	}
	if err := checkNameLengths(r.Service, r.Operation, r.Priority, r.Caller, string(r.Shard)); err != nil {
		return time.Time{}, err
	}
	if r.Ticket == "" {
		return time.Time{}, result.Errorf(result.TicketRequired, "an order needs a ticket from /v1/orders/ticket")
	}
	return deadlineAfter(arrived, r.DeadlineMS)
}
