// Package operatorhttp serves the operator interface: probes, metrics, status
// and explanations. It has its own listener, so that probes and metrics are
// not served to callers and do not compete with their requests.
package operatorhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Inspector answers operators' questions about the instance. Its methods are
// called concurrently.
type Inspector interface {
	// Ready says whether the load balancer should send requests, and if not,
	// why.
	Ready() (bool, string)
	// Status returns a value that is written as JSON.
	Status() any
	// Explain says how a request would be served now. Priority and shard may
	// be empty. An error carries a result code.
	Explain(service, priority, shard string) (any, error)
}

// Timeouts and bounds of the listener. Probes and scrapes are short requests
// from a few clients.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// Server is the operator listener.
type Server struct {
	address string
	log     logrus.FieldLogger
	http    *http.Server
	bound   net.Addr
}

// NewServer returns a server for the address, "ip:port".
func NewServer(address string, handler http.Handler, log logrus.FieldLogger) *Server {
	return &Server{
		address: address,
		log:     log,
		http: &http.Server{
			Handler:        handler,
			ReadTimeout:    readTimeout,
			WriteTimeout:   writeTimeout,
			IdleTimeout:    idleTimeout,
			MaxHeaderBytes: maxHeaderBytes,
		},
	}
}

// Start opens the listener and serves it in the background.
func (s *Server) Start(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.address)
	if err != nil {
		return fmt.Errorf("operator listener: %w", err)
	}
	s.bound = listener.Addr()
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.Error(s.log, event.ListenerFailed, event.Fields{"address": s.address, "error": err}, "operator listener failed")
		}
	}()
	return nil
}

// Address returns the bound address; it is valid after Start.
func (s *Server) Address() net.Addr { return s.bound }

// Stop closes the listener, waits for requests in progress until ctx ends, and
// then closes their connections.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}

// NewHandler returns the handler of the operator interface. Profiles are served
// under /debug/pprof/ when profiling is true.
func NewHandler(op Inspector, metrics http.Handler, profiling bool, log logrus.FieldLogger) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.CustomRecoveryWithWriter(nil, func(c *gin.Context, reason any) {
		event.Error(log, event.InternalError, event.Fields{"path": c.Request.URL.Path, "panic": fmt.Sprint(reason)}, "operator request failed")
		fail(c, http.StatusInternalServerError, result.Internal, "the request failed inside the instance")
	}))
	probes := []string{http.MethodGet, http.MethodHead}
	router.Match(probes, "/live", func(c *gin.Context) { c.String(http.StatusOK, "live\n") })
	router.Match(probes, "/ready", func(c *gin.Context) { ready(c, op) })
	router.GET("/metrics", gin.WrapH(metrics))
	router.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, op.Status()) })
	router.GET("/explain", func(c *gin.Context) { explain(c, op) })
	if profiling {
		addProfiles(router)
	}
	router.NoRoute(func(c *gin.Context) {
		fail(c, http.StatusNotFound, result.BadRequest, "paths are /live, /ready, /metrics, /status and /explain")
	})
	return router
}

// addProfiles serves the runtime's profiles in the format of the command
// "go tool pprof". The duration of a profile is bounded by the write timeout
// of the listener.
func addProfiles(router *gin.Engine) {
	router.GET("/debug/pprof/profile", gin.WrapF(pprof.Profile))
	router.GET("/debug/pprof/trace", gin.WrapF(pprof.Trace))
	for _, name := range []string{"allocs", "goroutine", "heap"} {
		router.GET("/debug/pprof/"+name, gin.WrapH(pprof.Handler(name)))
	}
}

// readiness is the body of /ready.
type readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

func ready(c *gin.Context, op Inspector) {
	ok, reason := op.Ready()
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	c.JSON(status, readiness{Ready: ok, Reason: reason})
}

func explain(c *gin.Context, op Inspector) {
	service := c.Query("service")
	if service == "" {
		fail(c, http.StatusBadRequest, result.BadRequest, "the parameter service is required")
		return
	}
	value, err := op.Explain(service, c.Query("priority"), c.Query("shard"))
	if err != nil {
		code := result.CodeOf(err)
		fail(c, statusOf(code), code, err.Error())
		return
	}
	c.JSON(http.StatusOK, value)
}

func statusOf(code result.Code) int {
	switch {
	case code == result.UnknownService:
		return http.StatusNotFound
	case code >= 2000 && code < 3000:
		return http.StatusBadRequest
	case code >= 3000 && code < 4000:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// failure is the body of an answer with an error.
type failure struct {
	Code     int    `json:"code"`
	CodeName string `json:"code_name"`
	Detail   string `json:"detail"`
}

func fail(c *gin.Context, status int, code result.Code, detail string) {
	c.AbortWithStatusJSON(status, failure{Code: int(code), CodeName: code.String(), Detail: detail})
}
