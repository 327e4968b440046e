package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// sentRequest is one request of a requester.
type sentRequest struct {
	at     time.Time
	id     string
	answer string
}

type sentRequests struct {
	mu   sync.Mutex
	list []sentRequest
}

func (s *sentRequests) all() []sentRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]sentRequest(nil), s.list...)
}

var requester = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (s *sentRequests) send(address, host, path, id string, timeout time.Duration) {
	r := sentRequest{at: time.Now(), id: id}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	ctx, cancel := context.WithTimeout(req.Context(), timeout)
	defer cancel()
	req = req.WithContext(ctx)
	resp, err := requester.Do(req)
	if err != nil {
		r.answer = "no answer"
	} else {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		r.answer = fmt.Sprint(resp.StatusCode)
	}
	s.mu.Lock()
	s.list = append(s.list, r)
	s.mu.Unlock()
}
