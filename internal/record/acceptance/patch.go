package acceptance

import (
	"bytes"
	"errors"
	"hash/maphash"

	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

const (
	// blockLines is about how many lines make a block. Blocks end at lines whose
	// hash says so, so that an inserted line moves no other block's end.
	blockLines = 8
	// maxBlockBytes cuts blocks of lines that never end one.
	maxBlockBytes = 4096
)

// PatchStep copies a part of the base text, or adds new bytes.
type PatchStep struct {
	_       struct{} `cbor:",toarray"`
	Offset  int      // in the base, if Literal is empty
	Length  int
	Literal []byte
}

// Errors of [Patch.Apply].
var (
	ErrPatch     = errors.New("patch does not fit its base")
	ErrTextLarge = errors.New("text is too large")
)

// Patch turns one text into another. Only changed blocks are in it.
type Patch struct {
	Steps []PatchStep `cbor:"1,keyasint"`
}

// NewPatch returns the patch that turns base into text.
func NewPatch(base, text []byte) Patch {
	seed := maphash.MakeSeed()
	places := make(map[uint64]int)
	for at := 0; at < len(base); {
		n := blockLength(seed, base[at:])
		places[maphash.Bytes(seed, base[at:at+n])] = at
		at += n
	}
	var p Patch
	for at := 0; at < len(text); {
		n := blockLength(seed, text[at:])
		block := text[at : at+n]
		from, ok := places[maphash.Bytes(seed, block)]
		if ok && from+n <= len(base) && bytes.Equal(base[from:from+n], block) {
			p.copyPart(from, n)
		} else {
			p.add(block)
		}
		at += n
	}
	return p
}

// blockLength returns the length of the first block of a text.
func blockLength(seed maphash.Seed, text []byte) int {
	for n := 0; n < len(text); {
		end := bytes.IndexByte(text[n:], '\n')
		if end < 0 {
			return min(len(text), maxBlockBytes)
		}
		line := text[n : n+end+1]
		n += len(line)
		if n >= maxBlockBytes {
			return maxBlockBytes
		}
		if maphash.Bytes(seed, line)%blockLines == 0 {
			return n
		}
	}
	return len(text)
}

func (p *Patch) copyPart(from, n int) {
	if i := len(p.Steps) - 1; i >= 0 && len(p.Steps[i].Literal) == 0 && p.Steps[i].Offset+p.Steps[i].Length == from {
		p.Steps[i].Length += n
		return
	}
	p.Steps = append(p.Steps, PatchStep{Offset: from, Length: n})
}

func (p *Patch) add(block []byte) {
	if i := len(p.Steps) - 1; i >= 0 && len(p.Steps[i].Literal) > 0 {
		p.Steps[i].Literal = append(p.Steps[i].Literal, block...)
		return
	}
	p.Steps = append(p.Steps, PatchStep{Literal: bytes.Clone(block)})
}

// Apply returns the text that the patch makes of base. The caller compares its
// digest: a patch for another base may fit by chance.
func (p Patch) Apply(base []byte) ([]byte, error) {
	var out []byte
	for _, s := range p.Steps {
		part := s.Literal
		if len(part) == 0 {
			if s.Offset < 0 || s.Length < 0 || s.Offset > len(base) || s.Length > len(base)-s.Offset {
				return nil, ErrPatch
			}
			part = base[s.Offset : s.Offset+s.Length]
		}
		if len(out)+len(part) > object.MaxValueBytes {
			return nil, ErrTextLarge
		}
		out = append(out, part...)
	}
	return out, nil
}

// Encode returns the patch as it is sent.
func (p Patch) Encode() []byte {
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(err) // a struct of numbers and bytes always encodes
	}
	return b
}

// DecodePatch reads a patch.
func DecodePatch(b []byte) (Patch, error) {
	var p Patch
	err := cbor.Unmarshal(b, &p)
	return p, err
}
