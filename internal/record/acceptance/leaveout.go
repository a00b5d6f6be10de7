package acceptance

import (
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
)

// silentTimeouts is over how many timeouts members report whom they have
// answered. Silence that long covers as many rounds of lost contact.
const silentTimeouts = 3

// leaveOut decides about members that have not said that they hold a text, while
// all others have. It returns how many timeouts after the last of the others
// said so they have surely lost contact, and those that may keep it for ever.
//
// A member that holds nothing finds no contact with one that knows the stage.
// So the silent ones keep contact only among themselves: one that finds fewer
// neighbours among them than it needs loses contact within a timeout, and then
// gives no contact to the rest, of which some lose theirs one timeout later, and
// so on. A data centre that is cut off whole keeps contact within itself, and
// must be waited for.
func leaveOut(members *member.Members, silent []host.Name) (rounds int, keep []host.Name) {
	all := make(map[host.Name]bool, len(silent))
	active := make(map[host.Name]bool, len(silent))
	for _, name := range silent {
		all[name] = true
		active[name] = true
	}
	for {
		var lost []host.Name
		for _, name := range silent {
			if active[name] && !keepsContact(members.Neighbours(name), active, all) {
				lost = append(lost, name)
			}
		}
		if len(lost) == 0 {
			break
		}
		rounds++
		for _, name := range lost {
			delete(active, name)
		}
	}
	for _, name := range silent {
		if active[name] {
			keep = append(keep, name)
		}
	}
	return rounds, keep
}

func keepsContact(neighbours []host.Name, active, all map[host.Name]bool) bool {
	full, weak := member.Quorum(len(neighbours))
	inActive, inAll := 0, 0
	for _, n := range neighbours {
		if active[n] {
			inActive++
		}
		if all[n] {
			inAll++
		}
	}
	return full == 0 || inActive >= full || inAll >= weak
}
