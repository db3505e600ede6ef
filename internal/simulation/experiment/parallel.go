package experiment

import (
	"context"
	"runtime"
	"sync"
)

// ForEach calls do with each number from 0 to count-1, concurrently on the given number of workers. 0 workers means
// one per core. After the context is done, ForEach hands at most one more number to a worker. It returns when all
// calls have returned.
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
