package prove

import (
	"context"
	"io"
)

func measureRecovery(ctx context.Context, cfg Config, out io.Writer) error { return nil }
func measureSettings(ctx context.Context, cfg Config, out io.Writer) error { return nil }
