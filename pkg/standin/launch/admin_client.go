package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// PostJSON sends in as JSON to an admin listener, given as "ip:port", and decodes
// the answer into out unless out is nil.
func PostJSON(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return sendRequest(ctx, http.MethodPost, "http://"+address+path, body, out)
}

// GetJSON decodes the answer of an admin listener to a GET request into out.
func GetJSON(ctx context.Context, address, path string, out any) error {
	return sendRequest(ctx, http.MethodGet, "http://"+address+path, nil, out)
}

// sendRequest sends an HTTP request and decodes the JSON answer into out unless out is
// nil. For an answer with a status other than 200, it returns an error that contains
// the answer's text.
func sendRequest(ctx context.Context, method, target string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, target, resp.StatusCode, bytes.TrimSpace(answer))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer, out)
}
