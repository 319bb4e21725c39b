package reporter

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Window numbers the spans of true time for which usage is reported: window k begins k
// lengths after the start of 1970.
type Window int64

// Counts has, for each account, how many requests targets began to run in a window. No count
// is 0.
type Counts map[identifier.AccountName]int

// windowAt returns the window of a moment of true time since the start of 1970.
func windowAt(at, length time.Duration) Window { return Window(at / length) }

// begin returns when a window begins, in true time since the start of 1970.
func (w Window) begin(length time.Duration) time.Duration { return time.Duration(w) * length }

// keyPrefix precedes the number of a window in the keys of the stored reports.
const keyPrefix = "report/"

func (w Window) key() string { return fmt.Sprint(keyPrefix, int64(w)) }

// parseKey returns the window of a stored report.
func parseKey(key string) (Window, bool) {
	text, ok := strings.CutPrefix(key, keyPrefix)
	n, err := strconv.ParseInt(text, 10, 64)
	return Window(n), ok && err == nil
}
