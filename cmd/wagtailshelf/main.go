// Command wagtailshelf is a load balancer for expert-parallel model groups.
package main

import (
	"context"
	"fmt"
	"os"

	"wagtailshelf.example/wagtailshelf/internal/operator/root"
)

func main() {
	if err := root.New().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
