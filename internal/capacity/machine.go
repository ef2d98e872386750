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

const bytesPerMB = 1e6

// heapBytes returns the size of all live heap objects.
func heapBytes() float64 {
	// The first cycle finds unreachable objects; the second one makes sure that they are freed.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapAndStackBytes returns the size of all live heap objects and of the goroutine stacks.
func heapAndStackBytes() float64 {
	heap := heapBytes()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return heap + float64(stats.StackInuse)
}

// retainedBytes returns the size of the heap objects that the result of build keeps alive.
func retainedBytes[T any](build func() T) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return max(after-before, 0)
}

// fastest returns the duration of the fastest of several runs, which other load on the machine has disturbed least.
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

// quantile returns the duration below which the given share of the durations lies.
func quantile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// cpuTime returns the user and system processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage with RUSAGE_SELF does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processMemoryMB returns a field of /proc/self/status: "VmHWM:" is the peak resident size of this process,
// "RssAnon:" its current anonymous resident memory, which excludes mapped files such as the executable.
// The peak of getrusage is not used, because it includes the memory of the program that started this one.
func processMemoryMB(name string) (float64, error) {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, errors.Wrap(err, "read the memory usage of the process")
	}
	return statusFieldMB(string(text), name)
}

// statusFieldMB returns a field of /proc/self/status, which has sizes in kB, as MB.
func statusFieldMB(status, name string) (float64, error) {
	for line := range strings.Lines(status) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == name && fields[2] == "kB" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			return kilobytes * 1024 / bytesPerMB, errors.Wrapf(err, "read %s", name)
		}
	}
	return 0, errors.Newf("/proc/self/status has no field %s in kB", name)
}

// loadAverages returns the load averages of the machine over 1, 5 and 15 minutes, or "unknown".
func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], ", ")
}
