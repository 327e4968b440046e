// Package operatorhttp serves the HTTP interface for operators: health probes,
// metrics, status, profiles, and explanations of how a request would be served. It
// has its own listener, so that callers cannot use it and operators' requests do not
// compete with callers' requests.
package operatorhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Inspector answers operators' requests with information about the instance. Its
// methods are called concurrently.
type Inspector interface {
	// Ready reports whether the load balancer should send requests to the instance,
	// and the reason if not.
	Ready() (bool, string)
	// Status returns the state of the instance, which is sent as JSON.
	Status() any
	// Explain returns, for sending as JSON, how a request to the service would be
	// served now. Priority and shard may be empty. An error carries a result code.
	Explain(service, priority, shard string) (any, error)
}

// RequestExplainer is implemented by inspectors whose requests have a host and a path.
type RequestExplainer interface {
	// ExplainRequest returns, for sending as JSON, what would be done with a request now,
	// without changing anything. An error carries a result code.
	ExplainRequest(q port.ExplainQuery) (any, error)
}

// Timeouts and size limits of the listener. Probes and metrics scrapes are short
// requests from a few clients.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// Server is the HTTP server for operators.
type Server struct {
	address      string
	log          logrus.FieldLogger
	http         *http.Server
	boundAddress net.Addr
}

// NewServer returns a server that will listen on the address, "ip:port".
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
	s.boundAddress = listener.Addr()
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.Error(s.log, event.ListenerFailed, event.Fields{"address": s.address, "error": err}, "operator listener failed")
		}
	}()
	return nil
}

// Address returns the address that the server listens on; it is valid after Start.
func (s *Server) Address() net.Addr { return s.boundAddress }

// Stop closes the listener and waits for requests in progress. If ctx ends before
// they do, it closes their connections.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}

// NewHandler returns the HTTP handler for operators' requests. If profiling is true,
// it also serves profiles under /debug/pprof/.
func NewHandler(inspector Inspector, metrics http.Handler, profiling bool, log logrus.FieldLogger) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.CustomRecoveryWithWriter(nil, func(c *gin.Context, reason any) {
		event.Error(log, event.InternalError, event.Fields{"path": c.Request.URL.Path, "panic": fmt.Sprint(reason)}, "operator request failed")
		writeError(c, http.StatusInternalServerError, result.Internal, "the request failed inside the instance")
	}))
	probes := []string{http.MethodGet, http.MethodHead}
	router.Match(probes, "/live", func(c *gin.Context) { c.String(http.StatusOK, "live\n") })
	router.Match(probes, "/ready", func(c *gin.Context) { serveReady(c, inspector) })
	router.GET("/metrics", gin.WrapH(metrics))
	router.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, inspector.Status()) })
	router.GET("/explain", func(c *gin.Context) { serveExplain(c, inspector) })
	if profiling {
		addProfiles(router)
	}
	router.NoRoute(func(c *gin.Context) {
		writeError(c, http.StatusNotFound, result.BadRequest, "paths are /live, /ready, /metrics, /status and /explain")
	})
	return router
}

// addProfiles adds the Go runtime's profiles, in the format of "go tool pprof", to
// the router. The listener's write timeout bounds the duration of a profile.
func addProfiles(router *gin.Engine) {
	router.GET("/debug/pprof/profile", gin.WrapF(pprof.Profile))
	router.GET("/debug/pprof/trace", gin.WrapF(pprof.Trace))
	for _, name := range []string{"allocs", "goroutine", "heap"} {
		router.GET("/debug/pprof/"+name, gin.WrapH(pprof.Handler(name)))
	}
}

// readyBody is the body of /ready.
type readyBody struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

func serveReady(c *gin.Context, inspector Inspector) {
	ok, reason := inspector.Ready()
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	c.JSON(status, readyBody{Ready: ok, Reason: reason})
}

func serveExplain(c *gin.Context, inspector Inspector) {
	value, err := explain(c, inspector)
	if err != nil {
		code := result.CodeOf(err)
		writeError(c, httpStatus(code), code, err.Error())
		return
	}
	c.JSON(http.StatusOK, value)
}

func explain(c *gin.Context, inspector Inspector) (any, error) {
	service, host := c.Query("service"), c.Query("host")
	switch {
	case service != "" && host != "":
		return nil, result.Errorf(result.BadRequest, "the parameters service and host exclude each other")
	case service != "":
		return inspector.Explain(service, c.Query("priority"), c.Query("shard"))
	case host == "":
		return nil, result.Errorf(result.BadRequest, "the parameter service is required")
	}
	explainer, ok := inspector.(RequestExplainer)
	if !ok {
		return nil, result.Errorf(result.BadRequest, "this instance has no routes; the parameter service is required")
	}
	q, err := explainQuery(c)
	if err != nil {
		return nil, err
	}
	return explainer.ExplainRequest(q)
}

// explainQuery reads the parameters that describe a request by its host and path.
func explainQuery(c *gin.Context) (port.ExplainQuery, error) {
	q := port.ExplainQuery{Method: c.DefaultQuery("method", http.MethodGet), Host: c.Query("host"), Path: c.Query("path"), Size: -1}
	if !strings.HasPrefix(q.Path, "/") {
		return q, result.Errorf(result.BadRequest, "the parameter path is required and begins with a slash")
	}
	if text, ok := c.GetQuery("size"); ok {
		size, err := strconv.ParseInt(text, 10, 64)
		if err != nil || size < 0 {
			return q, result.Errorf(result.BadRequest, "the parameter size is a number of bytes")
		}
		q.Size = size
	}
	for name, value := range map[string]*bool{"repeated": &q.Repeated, "all": &q.All} {
		text, ok := c.GetQuery(name)
		if !ok {
			continue
		}
		var err error
		if *value, err = strconv.ParseBool(text); err != nil {
			return q, result.Errorf(result.BadRequest, "the parameter %s is true or false", name)
		}
	}
	return q, nil
}

// httpStatus returns the HTTP status for the result code of an error.
func httpStatus(code result.Code) int {
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

// errorBody is the body of an error answer.
type errorBody struct {
	Code     int    `json:"code"`
	CodeName string `json:"code_name"`
	Detail   string `json:"detail"`
}

func writeError(c *gin.Context, status int, code result.Code, detail string) {
	c.AbortWithStatusJSON(status, errorBody{Code: int(code), CodeName: code.String(), Detail: detail})
}
