package crowder

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"
)

// peakResidentBytes returns the greatest resident memory that a process has had.
func peakResidentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return n << 10, err
		}
	}
	return 0, errors.Errorf("process %d has no peak resident memory", pid)
}

// countDescriptors returns the number of open descriptors of a process.
func countDescriptors(pid int) (int64, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return int64(len(list)), err
}

// lockFile is locked while a test process plays crowds.
const lockFile = "lycheeladder-crowder.lock"

// RunAlone calls run while no other process of the user does so, since crowds that
// overlap compete for memory and processor time.
func RunAlone(run func() int) (code int, err error) {
	f, err := os.OpenFile(filepath.Join(os.TempDir(), lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return 1, err
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		return 1, errors.Wrap(err, "lock")
	}
	return run(), nil
}
