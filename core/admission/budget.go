package admission

// retryReserve is the number of retries that are possible without any request
// before them, so that a service with little traffic can retry at all.
const retryReserve = 10

// roundingSlack makes up for sums of shares that are not exact in binary.
const roundingSlack = 1e-6

// budget is a bucket of retries that fills with requests.
type budget struct {
	share  float64
	tokens float64
}

func newBudget(share float64) budget {
	return budget{share: share, tokens: retryReserve}
}

func (b *budget) request() {
	b.tokens = min(b.tokens+b.share, retryReserve)
}

func (b *budget) retry() bool {
	if b.tokens < 1-roundingSlack {
		return false
	}
	b.tokens--
	return true
}
