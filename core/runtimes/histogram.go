package runtimes

import (
	"math"
	"time"
)

// Bucket is the bucket of a ratio. Bucket n covers the ratios round 2^(n/bucketsPerDoubling), so a
// declared run time that is right within a tenth is in bucket 0.
type Bucket int8

const (
	bucketsPerDoubling = 4
	// maxBucket and -maxBucket are the outermost buckets, 16 and 1/16. The declared run times of the
	// platform are off by up to ten times.
	maxBucket   = 16
	bucketCount = 2*maxBucket + 1
	// sampleUnits is what one ratio adds to the count of its bucket. A rare ratio of the tail thereby
	// survives several halvings.
	sampleUnits = 16
	// maxHistogramSamples is the number of samples at which all counts are halved. Older samples
	// thereby lose weight: between 300 and 600 samples count, enough for a quantile of 99 percent.
	maxHistogramSamples = 600
)

// bucketRatios is the ratio of each bucket.
var bucketRatios = func() (ratios [bucketCount]float64) {
	for i := range ratios {
		ratios[i] = math.Exp2(float64(i-maxBucket) / bucketsPerDoubling)
	}
	return ratios
}()

func ratioOf(measured, declared time.Duration) float64 {
	return max(measured, time.Microsecond).Seconds() / max(declared, time.Microsecond).Seconds()
}

func bucketOf(ratio float64) Bucket {
	if ratio <= bucketRatios[0] {
		return -maxBucket
	}
	return Bucket(min(math.Round(bucketsPerDoubling*math.Log2(ratio)), maxBucket))
}

// Valid reports whether a bucket is in range.
func (b Bucket) Valid() bool { return b >= -maxBucket && b <= maxBucket }

// Histogram counts ratios. The zero value is empty.
type Histogram struct {
	counts [bucketCount]uint16 // in units of 1/sampleUnits
	total  int                 // sum of the counts
	// logSum and logSquares are the sums of the bucket numbers and of their squares. They follow from the
	// counts.
	logSum, logSquares int
}

// Add counts a ratio.
func (h *Histogram) Add(b Bucket) {
	if !b.Valid() {
		return
	}
	h.counts[b+maxBucket] += sampleUnits
	h.addToSums(b, sampleUnits)
	if h.total >= maxHistogramSamples*sampleUnits {
		h.halve()
	}
}

func (h *Histogram) addToSums(b Bucket, count int) {
	h.total += count
	h.logSum += count * int(b)
	h.logSquares += count * int(b) * int(b)
}

func (h *Histogram) halve() {
	old := h.counts
	*h = Histogram{}
	for i, count := range old {
		h.counts[i] = count / 2
		h.addToSums(Bucket(i-maxBucket), int(count/2))
	}
}

// Total returns the number of ratios that count.
func (h *Histogram) Total() int { return h.total / sampleUnits }

// Counts returns the counts, in sixteenths of a ratio, from the first to the last bucket that is not empty, and the first of
// these buckets.
func (h *Histogram) Counts() (first Bucket, counts []uint16) {
	for i, count := range h.counts {
		if count == 0 {
			continue
		}
		if counts == nil {
			first = Bucket(i - maxBucket)
		}
		for len(counts) < i-int(first)-maxBucket {
			counts = append(counts, 0)
		}
		counts = append(counts, count)
	}
	return first, counts
}

// HistogramOf returns the histogram with the result of Counts. Buckets out of range are ignored.
func HistogramOf(first Bucket, counts []uint16) Histogram {
	h := Histogram{}
	for i, count := range counts {
		if at := int(first) + maxBucket + i; at >= 0 && at < bucketCount {
			h.counts[at] = count
			h.addToSums(Bucket(at-maxBucket), int(count))
		}
	}
	for h.total >= maxHistogramSamples*sampleUnits {
		h.halve()
	}
	return h
}

// LogMean returns the mean of the logarithm of the counted ratios and of a number of ratios of 1.
func (h *Histogram) LogMean(ones int) float64 {
	if h.total == 0 {
		return 0
	}
	return bucketLog * float64(h.logSum) / float64(h.total+ones*sampleUnits)
}

// bucketLog is the logarithm of the ratio of two neighbouring buckets.
const bucketLog = math.Ln2 / bucketsPerDoubling

// LogVariance returns the variance of the logarithm of the ratio.
func (h *Histogram) LogVariance() float64 {
	if h.total == 0 {
		return 0
	}
	mean := float64(h.logSum) / float64(h.total)
	return max(float64(h.logSquares)/float64(h.total)-mean*mean, 0) * bucketLog * bucketLog
}

// Quantile returns the upper bound of the bucket in which the given share of the ratios ends.
func (h *Histogram) Quantile(share float64) float64 {
	rank := int(math.Ceil(share * float64(h.total)))
	seen := 0
	for i, count := range h.counts {
		seen += int(count)
		if seen >= rank && seen > 0 {
			return bucketRatios[i] * halfBucket
		}
	}
	return 1
}

// halfBucket is the ratio of the upper bound of a bucket to its middle.
var halfBucket = math.Exp2(0.5 / bucketsPerDoubling)
