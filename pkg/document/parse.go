package document

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/result"
)

// maxReportedFaults limits the faults listed in an error, because errors are
// logged.
const maxReportedFaults = 10

// Parse decodes and checks a document. Whether a document is valid depends on
// its content alone, so that every instance comes to the same result. Errors
// carry result.InvalidDocument.
func Parse(content []byte) (*Document, error) {
	d, faults := decodeAndCheck(content)
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

// Check returns the faults of a document, ordered by path. Each kind of check
// reports at most jsoncheck.MaxFaults, except for unknown fields. A document is
// valid if all its faults are warnings.
func Check(content []byte) []Fault {
	_, faults := decodeAndCheck(content)
	return faults
}

// decode fills a document as far as the content allows. Fields whose value has
// a wrong type keep their zero value; the schema check reports them.
func decode(content []byte) (*Document, error) {
	d := &Document{Digest: xxhash.Sum64(content)}
	return d, json.Unmarshal(content, d)
}
