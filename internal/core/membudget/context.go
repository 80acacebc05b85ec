package membudget

import "context"

type holderKey struct{}

// NewContext returns a context whose work holds bytes with h.
func NewContext(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// FromContext returns the holder of a context's work; nil, which gets all it asks for, if there is
// none.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}

// TakeOver holds n bytes in place of another holder, as far as that holds them.
func (h *Holder) TakeOver(from *Holder, n int64) {
	h.Force(n)
	from.Shrink(min(n, from.Bytes()))
}

// Resize makes h hold bytes, in any case.
func (h *Holder) Resize(bytes int64) {
	if more := bytes - h.Bytes(); more > 0 {
		h.Force(more)
	} else {
		h.Shrink(-more)
	}
}
