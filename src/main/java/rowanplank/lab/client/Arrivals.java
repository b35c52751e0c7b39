package rowanplank.lab.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.Day.RequestClass;

/**
 * What clients want, and when: drawn ahead, so that no answer moves it. It is pure: no I/O, clock or thread.
 *
 * <p>Each matter has a source of chance of its own, and each arrival takes one draw of each: what changes for one
 * matter (another patience, a spike) leaves those of the others as they were, arrival by arrival. Their names:
 * {@code arrivals.times}, {@code .swings}, {@code .halls}, {@code .classes}, {@code .work}, {@code .patience},
 * {@code .heeds}, {@code .keeps}, {@code .once}.
 *
 * <p>Times: a Poisson process whose rate is constant in pieces: {@code rate} times the swing times all factors in
 * force. The swing is drawn anew every {@code burstLength}, uniform in [1 - burst, 1 + burst]. Arrival k comes where
 * the rate's integral reaches E(1) + ... + E(k), the E exponential with mean 1 (time change; Çınlar, <em>Introduction
 * to Stochastic Processes</em>, 1975, section 4.7): exact for any such rate, and no candidate is thrown away.
 *
 * <p>Work: log-normal with mean m and standard deviation s m: exp(ln m - v / 2 + sqrt(v) z) with v = ln(1 + s^2).
 * Patience: uniform in [patience, 1] times the class's deadline.
 *
 * <p>Hall: the skew in force, s, sends a share s of all to the first hall and spreads the rest evenly over all halls,
 * the first among them.
 *
 * <p>Costs: O(classes) an arrival; O(spans) at each change of the rate.
 */
public final class Arrivals implements Iterator<Arrival> {
    private static final double NANOS = 1e9;

    /** A change that is known beforehand. */
    private record Span(long from, long until, double size) {
        boolean covers(double at) {
            return from <= at && at < until;
        }
    }

    private final Day.Clients clients;
    private final List<RequestClass> classes;
    private final int halls;
    private final double end;
    private final double allShares;
    private final List<Span> factors = new ArrayList<>();
    private final List<Span> skews = new ArrayList<>();
    private final UniformRandomProvider swings;
    private final UniformRandomProvider hallChance;
    private final UniformRandomProvider classChance;
    private final UniformRandomProvider patience;
    private final UniformRandomProvider heeds;
    private final UniformRandomProvider keeps;
    private final UniformRandomProvider once;
    private final ContinuousSampler gap;
    private final ContinuousSampler workNoise;

    private boolean begun;
    private long number;
    /** Where the clock of the process stands; a double, since a nanosecond is no unit of chance. */
    private double now;
    private double pieceEnd;
    private double pieceRate;
    private double swing = 1;
    private double swingEnd;
    private Arrival next;

    /**
     * @param length clients ask from the beginning for so long
     * @param random a source of chance of its own for each name
     * @throws IllegalArgumentException if no class has a share, or there is no hall
     */
    public Arrivals(Day.Clients clients, List<RequestClass> classes, int halls, Duration length,
            Function<String, UniformRandomProvider> random) {
        this.clients = clients;
        this.classes = List.copyOf(classes);
        this.halls = halls;
        end = length.toNanos();
        allShares = classes.stream().mapToDouble(RequestClass::share).sum();
        if (!(allShares > 0) || halls < 1) {
            throw new IllegalArgumentException("arrivals need a class with a share, and a hall");
        }
        gap = ZigguratSampler.Exponential.of(random.apply("arrivals.times"));
        swings = random.apply("arrivals.swings");
        hallChance = random.apply("arrivals.halls");
        classChance = random.apply("arrivals.classes");
        workNoise = ZigguratSampler.NormalizedGaussian.of(random.apply("arrivals.work"));
        patience = random.apply("arrivals.patience");
        heeds = random.apply("arrivals.heeds");
        keeps = random.apply("arrivals.keeps");
        once = random.apply("arrivals.once");
    }

    /** The rate is so many times as high in [from, until), in nanoseconds; several in force multiply. */
    public void setRateFactor(long from, long until, double factor) {
        if (!(factor >= 0) || factor == Double.POSITIVE_INFINITY) {
            throw new IllegalArgumentException("no factor of a rate: " + factor);
        }
        add(factors, new Span(from, until, factor));
    }

    /** Another skew is in force in [from, until), in nanoseconds; where several are, the last one set. */
    public void setSkew(long from, long until, double skew) {
        if (!(skew >= 0 && skew <= 1)) {
            throw new IllegalArgumentException("no skew: " + skew);
        }
        add(skews, new Span(from, until, skew));
    }

    private void add(List<Span> to, Span span) {
        if (begun) {
            throw new IllegalStateException("arrivals have been drawn");
        }
        to.add(span);
    }

    @Override
    public boolean hasNext() {
        if (next == null) {
            begun = true;
            next = draw();
        }
        return next != null;
    }

    @Override
    public Arrival next() {
        if (!hasNext()) {
            throw new NoSuchElementException();
        }
        Arrival arrival = next;
        next = null;
        return arrival;
    }

    private Arrival draw() {
        if (!advance(gap.sample())) {
            return null;
        }
        long at = (long) now;
        int hall = hall(at);
        int type = requestClass();
        return new Arrival(number++, at, hall, type, work(classes.get(type)), patience(classes.get(type)),
                heeds.nextDouble() < clients.heeds(), keeps.nextDouble() < clients.keeps(),
                once.nextDouble() < clients.askOnce());
    }

    /** Goes on until so many arrivals more are expected. @return false at the end */
    private boolean advance(double expected) {
        double left = expected;
        while (now < end) {
            if (now >= pieceEnd) {
                beginPiece();
            }
            double room = (pieceEnd - now) * pieceRate;
            if (left < room) {
                now += left / pieceRate;
                return true;
            }
            left -= room;
            now = pieceEnd;
        }
        return false;
    }

    private void beginPiece() {
        if (now >= swingEnd) {
            boolean swinging = clients.burst() > 0 && !clients.burstLength().isZero();
            swing = swinging ? 1 + clients.burst() * (2 * swings.nextDouble() - 1) : 1;
            swingEnd = swinging ? swingEnd + clients.burstLength().toNanos() : Double.POSITIVE_INFINITY;
        }
        pieceEnd = Math.min(end, swingEnd);
        pieceRate = clients.rate() / NANOS * swing;
        for (Span s : factors) {
            if (s.covers(now)) {
                pieceRate *= s.size;
            }
            if (s.from > now) {
                pieceEnd = Math.min(pieceEnd, s.from);
            }
            if (s.until > now) {
                pieceEnd = Math.min(pieceEnd, s.until);
            }
        }
    }

    private int hall(long at) {
        double skew = clients.skew();
        for (Span s : skews) {
            if (s.covers(at)) {
                skew = s.size;
            }
        }
        double u = hallChance.nextDouble();
        return u < skew ? 0 : Math.min(halls - 1, (int) ((u - skew) / (1 - skew) * halls));
    }

    private int requestClass() {
        double left = classChance.nextDouble() * allShares;
        int last = 0;
        for (int i = 0; i < classes.size(); i++) {
            double share = classes.get(i).share();
            if (share > 0) {
                last = i;
                if (left < share) {
                    break;
                }
            }
            left -= share;
        }
        return last;
    }

    private long work(RequestClass type) {
        double variance = Math.log1p(type.spread() * type.spread());
        double z = workNoise.sample();
        return Math.round(type.work().toNanos() * StrictMath.exp(Math.sqrt(variance) * z - variance / 2));
    }

    private Duration patience(RequestClass type) {
        double share = clients.patience() + (1 - clients.patience()) * patience.nextDouble();
        return Duration.ofNanos(Math.round(type.deadline().toNanos() * share));
    }
}
