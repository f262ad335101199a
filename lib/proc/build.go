package proc

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

// Binaries builds all programs under app/ once per test process and returns the directory that holds them. The environment
// variable BIN_DIR names a directory of programs that are already built.
func Binaries(ctx context.Context) (string, error) {
	buildOnce.Do(func() { buildDir, errBuild = build(ctx) })
	return buildDir, errBuild
}

func build(ctx context.Context) (string, error) {
	if dir := os.Getenv("BIN_DIR"); dir != "" {
		return filepath.Abs(dir)
	}
	dir, err := os.MkdirTemp("", "anvilwick-bin-")
	if err != nil {
		return "", err
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", "anvilwick.example/anvilwick/app/...")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return dir, nil
}

// RemoveBinaries deletes what Binaries built; call it at the end of TestMain.
func RemoveBinaries() {
	if os.Getenv("BIN_DIR") == "" && buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}
