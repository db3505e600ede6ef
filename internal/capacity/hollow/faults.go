package hollow

import (
	"slices"
	"time"
)

// ZoneLost has a zone of so many members gone at once, as if its machines had lost their power, and measures until the
// others know of it, and what they send and spend meanwhile. Those that are gone are ended while nothing reaches them
// or comes from them.
func (f *Fleet) ZoneLost(zone int) Reading {
	gone := func(i int) bool { return i < zone }
	cut := func(from, to int) bool { return gone(from) || gone(to) }
	f.net.cut.Store(&cut)
	for _, m := range f.members[:zone] {
		m.end()
	}
	return Reading{f.opt.Members, f.until("gone", f.members[zone:], f.opt.Members-zone)}
}

// RegionsCut cuts the first members off from all others for so long, heals it, and measures until all are members of
// one fleet again, and what they send and spend from the healing on. On each side it tells the share of those that took
// all of the other side for dead by then: a few who hear nobody of many doubt themselves first (Lifeguard), and take
// longer.
func (f *Fleet) RegionsCut(region int, lasts time.Duration) Reading {
	cut := func(from, to int) bool { return (from < region) != (to < region) }
	f.net.cut.Store(&cut)
	time.Sleep(lasts)
	share := func(members []*member) float64 {
		parted := 0.0
		for _, m := range members {
			if m.real.AliveCount() == len(members) {
				parted++
			}
		}
		return parted / float64(len(members))
	}
	small, large := share(f.members[:region]), share(f.members[region:])
	f.net.cut.Store(nil)
	values := f.until("healed", f.members, f.opt.Members)
	values["parted_share_cut_off"], values["parted_share_others"] = small, large
	return Reading{f.opt.Members, values}
}

// until follows members until each sees so many alive, for the options' For at most, and tells how long it took them
// and what they sent.
func (f *Fleet) until(what string, members []*member, alive int) map[string]float64 {
	sent := func() (sum uint64) {
		for _, m := range members {
			sum += f.net.all[m.number].sentBytes.Load()
		}
		return sum
	}
	began, was, cpu := time.Now(), sent(), processor()
	var known []float64
	seen := make([]bool, len(members))
	for len(known) < len(members) && time.Since(began) < f.opt.For {
		time.Sleep(lookEvery)
		for i, m := range members {
			if !seen[i] && m.real.AliveCount() == alive {
				seen[i] = true
				known = append(known, time.Since(began).Seconds())
			}
		}
	}
	took, n := time.Since(began).Seconds(), float64(len(members))
	values := map[string]float64{
		what + "_known_share": float64(len(known)) / n, what + "_sent_bytes_per_s": float64(sent()-was) / n / took,
		what + "_processor_ms_per_s": float64((processor() - cpu).Microseconds()) / 1000 / n / took,
	}
	slices.Sort(known)
	for name, share := range map[string]float64{"_half_s": 0.5, "_99_s": 0.99, "_all_s": 1} {
		if i := int(share*n+0.999) - 1; i < len(known) { // those that did not end have no time
			values[what+name] = known[i]
		}
	}
	return values
}
