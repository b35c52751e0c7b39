package routerfleet.data;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A language model server that batches requests continuously, in virtual time: each step gives every running request a
 * token and reads at most one piece of waiting prompts, so that a long prompt slows down what runs beside it. Shared parts
 * that were read are kept while there is room.
 */
final class EmulatedEngine {
    /** What an engine can do. Times in milliseconds. */
    record Capability(int slots, int queue, double stepMs, double stepMsPerRequest, double tokensPerMs, int prefillChunkTokens,
            double memoryTokens, double responseDelayMs, int tokensPerEvent) {
        static final Capability SMALL_BATCH = new Capability(16, 48, 2.6, 0.12, 48.2, 2_048, 390_928, 14, 10);
    }

    /** A request at an engine, and what comes of it. */
    static final class Job {
        final long prefix;
        final double sharedTokens;
        final int outputTokens;
        private final double ownTokens;
        private double unreadTokens;
        private int generatedTokens;
        private boolean prefixWasCached;
        private final JobListener receiver;

        /** @param prefix the shared beginning; 0 for none */
        Job(long prefix, double sharedTokens, double ownTokens, int outputTokens, JobListener receiver) {
            this.prefix = prefix;
            this.sharedTokens = sharedTokens;
            this.ownTokens = ownTokens;
            this.outputTokens = outputTokens;
            this.receiver = receiver;
        }

        private double size() {
            return sharedTokens + ownTokens;
        }
    }

    /** Hears of a request. */
    interface JobListener {
        void firstEvent();

        void finished();

        void failed();
    }

    /** Virtual time. */
    interface Clock {
        void after(double ms, Runnable task);
    }

    final int zone;
    private final Capability capability;
    private final Clock clock;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final LinkedHashMap<Long, Double> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private double cachedTokens;
    private boolean stepping;
    private int arrivals;
    private double tokensRead;
    /** How much longer each step takes. */
    private double slowness = 1;
    private boolean failing;

    EmulatedEngine(int zone, Capability capability, Clock clock) {
        this.zone = zone;
        this.capability = capability;
        this.clock = clock;
    }

    void slowness(double changed) {
        slowness = changed;
    }

    /** From now on it fails all that comes, or no more. */
    void failing(boolean fails) {
        failing = fails;
    }

    int arrivals() {
        return arrivals;
    }

    double tokensRead() {
        return tokensRead;
    }

    void submit(Job job) {
        arrivals++;
        if (failing || running.size() + queue.size() >= capability.slots() + capability.queue()) {
            clock.after(1, job.receiver::failed);
            return;
        }
        queue.add(job);
        if (!stepping) {
            stepping = true;
            clock.after(0, this::step);
        }
    }

    private void step() {
        admit();
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        double read = prefillChunk();
        double ms = capability.stepMs() + capability.stepMsPerRequest() * running.size() + read / capability.tokensPerMs();
        clock.after(ms * slowness, () -> {
            List.copyOf(running).forEach(this::generateToken);
            step();
        });
    }

    private void admit() {
        double held = running.stream().mapToDouble(Job::size).sum();
        while (running.size() < capability.slots() && !queue.isEmpty()) {
            if (held + queue.peek().size() > capability.memoryTokens() && !running.isEmpty()) {
                return;
            }
            Job job = queue.poll();
            job.prefixWasCached = job.prefix != 0 && prefixCache.get(job.prefix) != null;
            job.unreadTokens = job.ownTokens + (job.prefixWasCached ? 0 : job.sharedTokens);
            tokensRead += job.unreadTokens;
            held += job.size();
            running.add(job);
        }
    }

    private double prefillChunk() {
        double left = capability.prefillChunkTokens();
        for (Job job : running) {
            double read = Math.min(left, job.unreadTokens);
            job.unreadTokens -= read;
            left -= read;
        }
        return capability.prefillChunkTokens() - left;
    }

    private void generateToken(Job job) {
        if (job.unreadTokens > 0) {
            return;
        }
        if (job.generatedTokens == 0 && job.prefix != 0 && !job.prefixWasCached) {
            cachePrefix(job);
        }
        job.generatedTokens++;
        if (job.generatedTokens == Math.min(capability.tokensPerEvent(), job.outputTokens)) {
            clock.after(capability.responseDelayMs(), job.receiver::firstEvent);
        }
        if (job.generatedTokens >= job.outputTokens) {
            running.remove(job);
            clock.after(capability.responseDelayMs(), job.receiver::finished);
        }
    }

    private void cachePrefix(Job job) {
        prefixCache.put(job.prefix, job.sharedTokens);
        cachedTokens += job.sharedTokens;
        Iterator<Map.Entry<Long, Double>> oldest = prefixCache.entrySet().iterator();
        while (cachedTokens > capability.memoryTokens() / 2 && oldest.hasNext()) {
            cachedTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
