// Command wagtailshelf is a load balancer for expert-parallel model groups.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/operator/root"
)

// reportLimit is how long the error of a command may take to be written: nobody may read it.
const reportLimit = time.Second

func main() {
	if err := root.New().Run(context.Background(), os.Args); err != nil {
		report(err)
		os.Exit(1)
	}
}

// report writes an error to standard error.
func report(err error) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		fmt.Fprintln(os.Stderr, err)
	}()
	select {
	case <-written:
	case <-time.After(reportLimit):
	}
}
