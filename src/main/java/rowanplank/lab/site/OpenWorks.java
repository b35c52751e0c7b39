package rowanplank.lab.site;

import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import rowanplank.lab.day.Day.RequestClass;

/**
 * For a site whose clients run elsewhere and tell it nothing: whatever has an id and asks for a class of the day is a
 * request, in whatever form. Its work is drawn when its first try comes, from the seed and its id alone, log-normal as
 * {@link rowanplank.lab.client.Arrivals} draws it, so that all its tries are the same work.
 */
public final class OpenWorks extends Works {
    private static final int LONGEST_ID = 256;

    private final LongHashFunction hash;
    private final List<RequestClass> classes;

    /** @param noise as for {@link Works} */
    public OpenWorks(long seed, double noise, List<RequestClass> classes) {
        super(seed, noise);
        hash = LongHashFunction.xx(~seed);
        this.classes = List.copyOf(classes);
    }

    /** Ids that are none of the laboratory's get a number by their hash. */
    @Override
    public long number(String id, String target) {
        RequestClass type = classes.stream().filter(c -> isOf(c, target)).findFirst().orElse(null);
        if (id == null || id.length() > LONGEST_ID || type == null) {
            return -1;
        }
        long own = Ids.number(id);
        long number = own >= 0 ? own : LongHashFunction.xx().hashChars(id) >>> 16;
        if (!knows(number)) {
            put(number, work(type, number), 0);
        }
        return number;
    }

    private static boolean isOf(RequestClass type, String target) {
        int end = 1 + type.name().length();
        return target.startsWith(type.name(), 1) && (target.length() == end || "/?".indexOf(target.charAt(end)) >= 0);
    }

    private long work(RequestClass type, long number) {
        double variance = StrictMath.log1p(type.spread() * type.spread());
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(hash.hashLong(number));
        double z = ZigguratSampler.NormalizedGaussian.of(random).sample();
        return Math.round(type.work().toNanos() * StrictMath.exp(Math.sqrt(variance) * z - variance / 2));
    }

    @Override
    public boolean isForm(long request, long form) {
        return knows(request);
    }
}
