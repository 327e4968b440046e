package platform

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestLongDocumentListIsPaged guards against an answer that is longer than the
// interface allows, and against documents that are left out between two pages.
func TestLongDocumentListIsPaged(t *testing.T) {
	s := newStore()
	filler := strings.Repeat("x", 900<<10)
	for i := range 10 {
		_, err := s.write(fmt.Appendf(nil, `{"service":"s%d","revision":1,"x":"%s"}`, i, filler), false)
		must.NoError(t, err)
	}
	seen := map[string]bool{}
	var since uint64
	for since < 10 {
		page, _ := s.read(since)
		size := 0
		for _, d := range page.Documents {
			seen[d.Service] = true
			size += len(d.Content)
		}
		must.LessEq(t, maxAnswerBytes, size)
		must.Greater(t, since, page.Version)
		since = page.Version
	}
	must.MapLen(t, 10, seen)
}

// TestWriteWithoutHigherRevisionIsRejected guards against a stand-in that accepts a
// document with the same revision as an earlier one without force, and against one that
// rejects a lower revision with force. The platform's owner would write neither of
// these documents.
func TestWriteWithoutHigherRevisionIsRejected(t *testing.T) {
	s := newStore()
	_, err := s.write([]byte(`{"service":"a","revision":2}`), false)
	must.NoError(t, err)
	_, err = s.write([]byte(`{"service":"a","revision":2}`), false)
	must.Error(t, err)
	_, err = s.write([]byte(`{"service":"a","revision":1}`), true)
	must.NoError(t, err)
	docs, _ := s.read(0)
	must.Eq(t, 2, docs.Version)
	must.Len(t, 1, docs.Documents)
}

// TestListChangeIsVisibleAfterLag guards against an instance list that shows a change
// before the lag has passed.
func TestListChangeIsVisibleAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(2 * time.Second)
		r.setInstance(time.Now(), Instance{ID: "a"})
		time.Sleep(2*time.Second - time.Millisecond)
		must.SliceEmpty(t, r.list(time.Now()).Instances)
		time.Sleep(time.Millisecond)
		must.Len(t, 1, r.list(time.Now()).Instances)
		r.removeInstance(time.Now(), "a")
		must.Len(t, 1, r.list(time.Now()).Instances)
		time.Sleep(2 * time.Second)
		must.SliceEmpty(t, r.list(time.Now()).Instances)
	})
}
