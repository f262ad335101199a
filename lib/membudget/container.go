package membudget

import (
	"os"
	"path"
	"strconv"
	"strings"
)

// cgroupRoot is where the files of control groups are, if the machine has any.
const cgroupRoot = "/sys/fs/cgroup"

// ContainerLimit returns the bytes at which the process is killed by the limit of its control group (version 2) or of one that contains it; 0: none is set.
func ContainerLimit() int64 {
	own, err := os.ReadFile("/proc/self/cgroup")
	if err != nil {
		return 0
	}
	return containerLimit(cgroupRoot, string(own))
}

// ProcessLimit returns the bytes at which the process is killed where its flags state a limit in MiB; 0: that of its container, if it has one.
func ProcessLimit(mib int) int64 {
	if mib > 0 {
		return int64(mib) << 20
	}
	return ContainerLimit()
}

// containerLimit reads the limits below root. own is the process's list of groups.
func containerLimit(root, own string) int64 {
	limit := int64(0)
	for line := range strings.Lines(own) {
		group, ok := strings.CutPrefix(strings.TrimSpace(line), "0::")
		if !ok {
			continue
		}
		for group = path.Clean("/" + group); ; group = path.Dir(group) {
			if n := readLimit(path.Join(root, group, "memory.max")); n > 0 && (limit == 0 || n < limit) {
				limit = n
			}
			if group == "/" {
				break
			}
		}
	}
	return limit
}

// readLimit returns the limit in a file; 0: it states none.
func readLimit(file string) int64 {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0 // "max"
	}
	return n
}
