package membudget

import (
	"os"
	"strconv"
	"strings"
)

// statmShared is the index of the resident pages of files and shared memory in /proc/self/statm.
const statmShared = 2

// mappedBytes returns the bytes of files and shared memory that are resident; 0: the system does not state them.
func mappedBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	return parseMapped(string(text), int64(os.Getpagesize()))
}

func parseMapped(statm string, pageSize int64) int64 {
	fields := strings.Fields(statm)
	if len(fields) <= statmShared {
		return 0
	}
	pages, err := strconv.ParseInt(fields[statmShared], 10, 64)
	if err != nil {
		return 0
	}
	return pages * pageSize
}
