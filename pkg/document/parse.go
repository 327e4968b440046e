package document

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/result"
)

// maxReportedFaults bounds the length of an error, which is logged.
const maxReportedFaults = 10

// Parse decodes and checks a document. Validity depends on the content alone,
// so that every instance decides alike. Errors carry result.InvalidDocument.
func Parse(content []byte) (*Document, error) {
	d, faults := examine(content)
	var lines []string
	for _, f := range faults {
		if !f.Warning {
			lines = append(lines, f.String())
		}
	}
	if len(lines) == 0 {
		d.derived = d.derive()
		return d, nil
	}
	if more := len(lines) - maxReportedFaults; more > 0 {
		lines = append(lines[:maxReportedFaults], fmt.Sprintf("%d more faults", more))
	}
	return nil, result.Errorf(result.InvalidDocument, "invalid document: %s", strings.Join(lines, "; "))
}

// Check returns every fault of a document, ordered by path, up to
// jsoncheck.MaxFaults of each kind of check. A document is valid if all of
// them are warnings.
func Check(content []byte) []Fault {
	_, faults := examine(content)
	return faults
}

// decode fills a document as far as the content allows. Values of a wrong type
// keep their zero value; the schema check reports them.
func decode(content []byte) (*Document, error) {
	d := &Document{Digest: xxhash.Sum64(content)}
	return d, json.Unmarshal(content, d)
}
