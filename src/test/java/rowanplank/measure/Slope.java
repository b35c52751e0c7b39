package rowanplank.measure;

/**
 * A straight line through measured points by least squares, and how far beyond the largest of them it is used.
 *
 * @param base the line's value at size 0
 * @param each what one more of the size adds
 * @param largest the largest size that was measured
 * @param worst the largest distance of a measured point from the line, as a part of the largest measured value
 */
public record Slope(double base, double each, double largest, double worst) {
    /** Fewer points than this show no slope: any two lie on a line. */
    public static final int LEAST_POINTS = 3;

    /**
     * @param sizes what was varied, at least three of them
     * @param values what was measured at each
     */
    public static Slope of(double[] sizes, double[] values) {
        if (sizes.length < LEAST_POINTS || values.length != sizes.length) {
            throw new IllegalArgumentException("a slope needs " + LEAST_POINTS + " points or more, each with a value");
        }
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double together = 0;
        double spread = 0;
        double largest = 0;
        for (int i = 0; i < sizes.length; i++) {
            together += (sizes[i] - meanSize) * (values[i] - meanValue);
            spread += (sizes[i] - meanSize) * (sizes[i] - meanSize);
            largest = Math.max(largest, sizes[i]);
        }
        if (spread == 0) {
            throw new IllegalArgumentException("a slope needs sizes that differ");
        }
        Slope line = new Slope(meanValue - together / spread * meanSize, together / spread, largest, 0);
        double off = 0;
        double most = 0;
        for (int i = 0; i < sizes.length; i++) {
            off = Math.max(off, Math.abs(values[i] - line.at(sizes[i])));
            most = Math.max(most, Math.abs(values[i]));
        }
        return new Slope(line.base, line.each, largest, most == 0 ? 0 : off / most);
    }

    private static double mean(double[] all) {
        double sum = 0;
        for (double one : all) {
            sum += one;
        }
        return sum / all.length;
    }

    /** The line's value at a size. */
    public double at(double size) {
        return base + each * size;
    }

    /** How many times the largest measured size this one is: up to 1 nothing is extrapolated. */
    public double beyond(double size) {
        return size / largest;
    }

    /** The size at which the line reaches a limit; infinite where it does not rise. */
    public double reaches(double limit) {
        return each <= 0 ? Double.POSITIVE_INFINITY : (limit - base) / each;
    }
}
