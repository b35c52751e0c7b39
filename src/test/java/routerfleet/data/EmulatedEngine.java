package routerfleet.data;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Emulates a language model server with continuous batching, in virtual time. Each step generates a token for every running
 * request and processes at most one chunk of the waiting prompts (chunked prefill), so a long prompt slows down concurrent
 * requests. Shared prompt prefixes are cached, with the least recently used evicted first.
 */
final class EmulatedEngine {
    /** Performance of an engine: numbers of requests, times in milliseconds, and tokens. */
    record Capability(int slots, int queue, double stepMs, double stepMsPerRequest, double tokensPerMs,
            int prefillChunkTokens, double memoryTokens, double responseDelayMs, int tokensPerEvent) {
        static final Capability SMALL_BATCH = new Capability(16, 48, 2.6, 0.12, 48.2, 2_048, 390_928, 14, 10);
    }

    /** A request at an engine and its progress. */
    static final class Job {
        final long prefix;
        final double sharedTokens;
        final int outputTokens;
        private final double ownTokens;
        private double unreadTokens;
        private int generatedTokens;
        private boolean prefixWasCached;
        private final JobListener listener;

        /** @param prefix identifies the shared prefix; 0 for none */
        Job(long prefix, double sharedTokens, double ownTokens, int outputTokens, JobListener listener) {
            this.prefix = prefix;
            this.sharedTokens = sharedTokens;
            this.ownTokens = ownTokens;
            this.outputTokens = outputTokens;
            this.listener = listener;
        }

        private double size() {
            return sharedTokens + ownTokens;
        }
    }

    /** Receives the progress of a request. */
    interface JobListener {
        void firstEvent();

        void finished();

        void failed();
    }

    /** Schedules tasks in virtual time. */
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
    /** Factor on the duration of each step. */
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

    /** Sets whether all new requests fail. */
    void failing(boolean fails) {
        failing = fails;
    }

    int arrivals() {
        return arrivals;
    }

    double tokensRead() {
        return tokensRead;
    }

    /** Queues a request, or fails it if the engine is failing or its queue is full. */
    void submit(Job job) {
        arrivals++;
        if (failing || running.size() + queue.size() >= capability.slots() + capability.queue()) {
            clock.after(1, job.listener::failed);
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
        double prefilled = prefillChunk();
        double ms = capability.stepMs() + capability.stepMsPerRequest() * running.size()
                + prefilled / capability.tokensPerMs();
        clock.after(ms * slowness, () -> {
            List.copyOf(running).forEach(this::generateToken);
            step();
        });
    }

    private void admit() {
        double usedTokens = running.stream().mapToDouble(Job::size).sum();
        while (running.size() < capability.slots() && !queue.isEmpty()) {
            if (usedTokens + queue.peek().size() > capability.memoryTokens() && !running.isEmpty()) {
                return;
            }
            Job job = queue.poll();
            job.prefixWasCached = job.prefix != 0 && prefixCache.get(job.prefix) != null;
            job.unreadTokens = job.ownTokens + (job.prefixWasCached ? 0 : job.sharedTokens);
            tokensRead += job.unreadTokens;
            usedTokens += job.size();
            running.add(job);
        }
    }

    private double prefillChunk() {
        double remaining = capability.prefillChunkTokens();
        for (Job job : running) {
            double prefilled = Math.min(remaining, job.unreadTokens);
            job.unreadTokens -= prefilled;
            remaining -= prefilled;
        }
        return capability.prefillChunkTokens() - remaining;
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
            clock.after(capability.responseDelayMs(), job.listener::firstEvent);
        }
        if (job.generatedTokens >= job.outputTokens) {
            running.remove(job);
            clock.after(capability.responseDelayMs(), job.listener::finished);
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
