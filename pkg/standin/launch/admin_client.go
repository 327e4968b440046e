package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// PostJSON sends an admin request and decodes the answer into out unless it is
// nil.
func PostJSON(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return call(ctx, http.MethodPost, "http://"+address+path, body, out)
}

// GetJSON reads an admin answer.
func GetJSON(ctx context.Context, address, path string, out any) error {
	return call(ctx, http.MethodGet, "http://"+address+path, nil, out)
}

func call(ctx context.Context, method, target string, body []byte, out any) error {
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
