package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// tick is the unit of processor times in /proc.
	tick = 10 * time.Millisecond
	// userTimeField is the position of the time in user mode behind the name of the program in /proc/PID/stat. The time in
	// the kernel follows.
	userTimeField = 11
)

// processorTime returns the processor time that a process has used, or zero if it has ended.
func processorTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < userTimeField+2 {
		return 0
	}
	var used time.Duration
	for _, field := range fields[userTimeField : userTimeField+2] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0
		}
		used += time.Duration(ticks) * tick
	}
	return used
}
