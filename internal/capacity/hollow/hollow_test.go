package hollow

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var (
	full     = flag.Bool("full", false, "measure at all sizes that fit a machine, for half an hour and up to 2 GB")
	sizes    = flag.String("sizes", "", "with -full: a JSON array of the sizes instead of the usual ones")
	readings = flag.String("readings", "", "file that readings are added to, one JSON object a line")
)

// tell logs a reading, and keeps it where one asked for that.
func tell(t *testing.T, what string, r Reading) {
	t.Helper()
	text := fmt.Sprintf("%s, %d:", what, r.N)
	for _, name := range slices.Sorted(maps.Keys(r.Values)) {
		text += fmt.Sprintf(" %s %.4g", name, r.Values[name])
	}
	t.Log(text)
	if *readings == "" {
		return
	}
	line, err := json.Marshal(struct {
		What string `json:"what"`
		Reading
	}{what, r})
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(*readings, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.Write(append(line, '\n')); err != nil {
		t.Fatal(err)
	}
}

// scale returns the sizes to measure.
func scale(t *testing.T, short []int, long ...int) []int {
	if !*full {
		return short
	}
	if *sizes != "" {
		var own []int
		if err := json.Unmarshal([]byte(*sizes), &own); err != nil {
			t.Fatal(err)
		}
		return own
	}
	return long
}

// within fails where a value is not within its bounds, or was not measured.
func within(t *testing.T, r Reading, name string, least, most float64) {
	t.Helper()
	if x, ok := r.Values[name]; !ok || !(x >= least && x <= most) {
		t.Errorf("%d: %s is %g, wanted %g to %g", r.N, name, x, least, most)
	}
}

// bubble runs f in virtual time. What memberlist leaves behind, probes and calls that wait, ends after it: time stands
// still once f is over.
func bubble(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		f(t)
	})
}

// What members spend and how soon they know, in virtual time: at rest, with two busy pages at each, and with shared
// limits.
func TestMembers(t *testing.T) {
	// Sizes are those that fit: 600 with busy pages took 3.4 GB and had not ended after 440 s of processor time. Large
	// fleets exchange digests and tables of members once in a minute or more: only the window at rest is long enough to
	// have its share of them.
	for _, c := range []struct {
		name   string
		opt    Options
		window time.Duration
		long   []int
	}{
		{"at rest", Options{}, 90 * time.Second, []int{100, 300, 1000}},
		{"two busy pages", Options{Destinations: 8, Busy: 6}, 10 * time.Second, []int{50, 100, 200, 300}},
		{"rights of 24 destinations", Options{Destinations: 24, Rights: true}, 10 * time.Second, []int{50, 100, 200, 300}},
	} {
		for _, n := range scale(t, []int{20}, c.long...) {
			t.Run(fmt.Sprintf("%s, %d", c.name, n), func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					opt := c.opt
					opt.Members, opt.Settle, opt.Window, opt.Changes = n, 5*time.Second, c.window, 3
					r, err := Measure(opt)
					if err != nil {
						t.Fatal(err)
					}
					tell(t, c.name, r)
					within(t, r, "known_share", 0.99, 1)
					within(t, r, "known_half_s", 0, 1)
					within(t, r, "sent_datagrams_per_s", 0.1, 1e5)
					within(t, r, "datagrams_without_room_per_s", 0, 0)
					if sent := r.Values["sent_bytes_per_s"]; n < 100 {
						within(t, r, "known_all_s", 0, 3)
						within(t, r, "heard_bytes_per_s", 0.99*sent, 1.01*sent) // nothing is lost on the way
					}
				})
			})
		}
	}
}

// A member that nobody hears has its changes known to nobody: the measure tells so.
func TestAChangeThatIsNotHeard(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f, err := Start(Options{Members: 6, For: 8 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		cut := func(from, to int) bool { return from == 1 || to == 1 }
		f.net.cut.Store(&cut)
		if known := f.Change(1); len(known) > 0 {
			t.Errorf("known after %v", known)
		}
		if known := f.Change(0); len(known) != 4 {
			t.Errorf("known to %d of the four that are not cut off", len(known))
		}
	})
}

// A zone lost, and regions cut from each other and healed, of members at rest.
func TestFaults(t *testing.T) {
	for _, n := range scale(t, []int{24}, 300) {
		zone := max(4, min(137, n*137/300))
		lasts := time.Minute
		if *full {
			lasts = 3 * time.Minute
		}
		start := func(t *testing.T) *Fleet {
			f, err := Start(Options{Members: n, For: 2 * time.Minute})
			if err != nil {
				t.Fatal(err)
			}
			return f
		}
		t.Run(fmt.Sprintf("zone lost, %d", n), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := start(t)
				defer f.Close()
				r := f.ZoneLost(zone)
				tell(t, fmt.Sprintf("zone of %d lost", zone), r)
				within(t, r, "gone_known_share", 1, 1)
				within(t, r, "gone_half_s", 1, 120) // nobody can know before a probe has failed
			})
		})
		t.Run(fmt.Sprintf("regions cut, %d", n), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := start(t)
				defer f.Close()
				r := f.RegionsCut(n/8, lasts)
				tell(t, fmt.Sprintf("a region of an eighth cut off for %v", lasts), r)
				within(t, r, "parted_share_others", 1, 1)
				within(t, r, "healed_known_share", 1, 1)
			})
		})
	}
}

// What sharing limits costs one member, by members and destinations.
func TestRights(t *testing.T) {
	destinations := []int{30}
	if *full {
		destinations = []int{30, 100, 1000}
	}
	for _, n := range scale(t, []int{20}, 100, 300, 1000, 2600) {
		for _, d := range destinations {
			r, err := Rights(n, d, 27)
			if err != nil {
				t.Fatal(err)
			}
			tell(t, fmt.Sprintf("rights of %d destinations", d), r)
			within(t, r, "shared_destinations", float64(d), float64(d))
			// all that it does not keep itself is lent anew
			due := (float64(d) - r.Values["kept_destinations"]) / renewEvery.Seconds()
			within(t, r, "loans_per_s", 0.9*due, 1.1*due)
			within(t, r, "sent_datagrams_per_s", due/24, 2*due+float64(n)/renewEvery.Seconds()*float64(d))
		}
	}
}

// What a list costs the seam: no more memory than a destination at rest may take in all. Times are told and held to
// nothing.
func TestSeam(t *testing.T) {
	for _, d := range scale(t, []int{1000}, 1000, 10000, 50000, 140000) {
		r := Seam(d, false)
		tell(t, "seam", r)
		within(t, r, "memory_bytes", 50*float64(d), 800*float64(d))
	}
}

// What held messages cost the decision module.
func TestBacklog(t *testing.T) {
	for _, d := range []int{1, 100, 2240} {
		for _, n := range scale(t, []int{10000}, 10000, 30000, 100000, 300000, 1000000) {
			r, err := Backlog(n, d)
			if err != nil {
				t.Fatal(err)
			}
			tell(t, fmt.Sprintf("backlog for %d destinations", d), r)
			within(t, r, "sent_share", 0.1, 1)
		}
	}
}
