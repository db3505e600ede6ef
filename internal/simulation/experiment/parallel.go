package experiment

import (
	"context"
	"runtime"
	"sync"
)

// ForEach calls do with each number below count on so many workers, 0 for one per core. Once the context is done it
// starts no further call, but for one that it may have offered already. It returns when all calls have ended.
func ForEach(ctx context.Context, workers, count int, do func(i int)) {
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	next := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	defer group.Wait()
	defer close(next)
	for i := range count {
		if ctx.Err() != nil {
			return
		}
		select {
		case next <- i:
		case <-ctx.Done():
			return
		}
	}
}
