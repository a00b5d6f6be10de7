package acceptance

import (
	"bytes"
	"errors"
	"hash/crc64"

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

// blockHash decides where blocks end. It is the same in each process and each run:
// with a seed drawn for each patch, one block in some thousand was as long as blocks
// may be, and a patch of one line had ten times its usual size by chance. Blocks with
// the same hash are compared, so a collision costs bytes and nothing else.
var blockHash = crc64.MakeTable(crc64.ECMA)

// NewPatch returns the patch that turns base into text.
func NewPatch(base, text []byte) Patch {
	places := make(map[uint64]int)
	for at := 0; at < len(base); {
		n := blockLength(base[at:])
		places[hashOf(base[at:at+n])] = at
		at += n
	}
	var p Patch
	for at := 0; at < len(text); {
		n := blockLength(text[at:])
		block := text[at : at+n]
		from, ok := places[hashOf(block)]
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
func blockLength(text []byte) int {
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
		if hashOf(line)%blockLines == 0 {
			return n
		}
	}
	return len(text)
}

func hashOf(b []byte) uint64 { return crc64.Checksum(b, blockHash) }

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
