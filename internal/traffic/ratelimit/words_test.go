package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func named(target string, rate Rate, age time.Duration) Word {
	return Word{Target: target, Said: Said{Kind: Named, Rate: rate}, Age: age}
}

func TestWords(t *testing.T) {
	var w Words
	require.Empty(t, w.Tell(start, time.Minute, 4, 0))
	w.Take(start, named("a", 1, 0))
	w.Take(start, named("a", 2, time.Second)) // older
	w.Take(start, named("b", 3, -time.Hour))  // no word is of the future
	later := start.Add(time.Second)
	require.Equal(t, []Word{named("a", 1, time.Second), named("b", 3, time.Second)}, w.Tell(later, time.Minute, 4, 0))
	w.Take(later, Word{Target: "a"})
	require.Equal(t, []Word{{Target: "a"}}, w.Tell(later, time.Second/2, 4, 0))
	require.Empty(t, w.Tell(later.Add(time.Second), time.Second/2, 4, 0))
}

// Hundreds of targets are in need at once, and a datagram has room for sixteen of them. All
// are told in turn.
func TestAllWordsAreToldInTurn(t *testing.T) {
	for _, targets := range []int{17, 48, 100, mostWords} {
		const most = 16
		var w Words
		for n := range targets {
			w.Take(start, named(fmt.Sprint(n), 1, 0))
		}
		told := make(map[string]bool)
		for turn := range uint64(targets) {
			list := w.Tell(start, time.Minute, most, turn)
			require.Len(t, list, most)
			for _, word := range list {
				told[word.Target] = true
			}
		}
		require.Len(t, told, targets)
	}
}

// Somebody tells of ever new targets. The memory stays bounded, and what is newest stays.
func TestWordsAreBounded(t *testing.T) {
	var w Words
	for n := range 2 * mostWords {
		w.Take(start.Add(time.Duration(n)*time.Millisecond), named(fmt.Sprint(n), 1, 0))
	}
	list := w.Tell(start.Add(2*mostWords*time.Millisecond), time.Minute, mostWords+1, 0)
	require.Len(t, list, mostWords)
	for _, word := range list {
		require.LessOrEqual(t, word.Age, (mostWords+1)*time.Millisecond)
	}
}
