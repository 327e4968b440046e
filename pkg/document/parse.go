package document

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/result"
)

// Parse decodes and checks a document. Validity depends on the content alone,
// so that every instance decides alike. Errors carry result.InvalidDocument.
func Parse(content []byte) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.DisallowUnknownFields()
	d := &Document{}
	if err := dec.Decode(d); err != nil {
		return nil, result.Wrap(result.InvalidDocument, err)
	}
	d.Digest = xxhash.Sum64(content)
	return d, nil
}
