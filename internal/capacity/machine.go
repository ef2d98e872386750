package capacity

import (
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const megabyte = 1e6

// heap returns the bytes of live objects.
func heap() float64 {
	// The second cycle frees what the first one has only found.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapAndStacks returns the bytes of live objects and of stacks.
func heapAndStacks() float64 {
	live := heap()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return live + float64(stats.StackInuse)
}

// live returns the bytes that the result of build keeps.
func live[T any](build func() T) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return max(after-before, 0)
}

// fastest returns the shortest of several runs, which other load on the machine disturbs least.
func fastest(repeat int, f func()) time.Duration {
	var best time.Duration
	for i := range max(repeat, 1) {
		start := time.Now()
		f()
		if d := time.Since(start); i == 0 || d < best {
			best = d
		}
	}
	return best
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

func milliseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e6 }

// quantile returns the value below which a share of the durations lies.
func quantile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// The call does not fail for the own process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryOf returns a size of this process in MB: "VmHWM:" is the largest resident size, "RssAnon:"
// what it has without the pages of the program file. The largest size of getrusage is not used,
// because it includes the program that started this one.
func memoryOf(name string) (float64, error) {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, errors.Wrap(err, "read the memory of the process")
	}
	return statusField(string(text), name)
}

// statusField returns a size in MB from /proc/self/status.
func statusField(status, name string) (float64, error) {
	for line := range strings.Lines(status) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == name && fields[2] == "kB" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			return kilobytes * 1024 / megabyte, errors.Wrapf(err, "read %s", name)
		}
	}
	return 0, errors.Newf("the system does not tell %s", name)
}

// load returns the load averages of the machine, or "unknown".
func load() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], ", ")
}
