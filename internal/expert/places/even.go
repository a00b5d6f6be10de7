package places

import "time"

const (
	// evenTight is the hottest rank's load, relative to the mean, below which a layer is
	// left alone where passes are near the longest pause on time, from tightPass of it on.
	// Each bit of skew then makes callers late: with 1.4 everywhere, groups of 32 ranks
	// earned 0.52 in place of 0.60 of what callers were owed under their highest load.
	evenTight = 1.25
	tightPass = 0.6
	// evenLoose is the same where passes are well below that, up to loosePass of it.
	// Nobody is late there, and copies are paid for and make passes longer: half as many
	// were made on quiet days, with as many callers on time.
	evenLoose = 1.5
	loosePass = 0.4
)

// EvenEnough is how uneven a layer of experts may be before experts are moved, by how long
// a pass takes and should take at the most. It answers demand that moves all the time: to
// follow each move is worth its price only while callers notice.
func EvenEnough(pass, aim time.Duration) float64 {
	if pass <= 0 || aim <= 0 {
		return evenTight
	}
	part := float64(pass) / float64(aim)
	slack := (tightPass - part) / (tightPass - loosePass)
	return evenTight + (evenLoose-evenTight)*min(max(slack, 0), 1)
}
