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
    record Capability(int slots, int queue, double stepMs, double stepMsPerRequest, double tokensPerMs, int pieceTokens,
            double memoryTokens, double firstMs, int tokensPerEvent) {
        static final Capability SMALL_BATCH = new Capability(16, 48, 2.6, 0.12, 48.2, 2_048, 390_928, 14, 10);
    }

    /** A request at an engine, and what comes of it. */
    static final class Job {
        final long part;
        final double sharedTokens;
        final int tokensOut;
        private final double ownTokens;
        private double toRead;
        private int made;
        private boolean partWasKept;
        private final Receiver receiver;

        /** @param part the shared beginning; 0 for none */
        Job(long part, double sharedTokens, double ownTokens, int tokensOut, Receiver receiver) {
            this.part = part;
            this.sharedTokens = sharedTokens;
            this.ownTokens = ownTokens;
            this.tokensOut = tokensOut;
            this.receiver = receiver;
        }

        private double size() {
            return sharedTokens + ownTokens;
        }
    }

    /** Hears of a request. */
    interface Receiver {
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
    private final LinkedHashMap<Long, Double> kept = new LinkedHashMap<>(16, 0.75f, true);
    private double keptTokens;
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

    void take(Job job) {
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
        double read = readPiece();
        double ms = capability.stepMs() + capability.stepMsPerRequest() * running.size() + read / capability.tokensPerMs();
        clock.after(ms * slowness, () -> {
            List.copyOf(running).forEach(this::token);
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
            job.partWasKept = job.part != 0 && kept.get(job.part) != null;
            job.toRead = job.ownTokens + (job.partWasKept ? 0 : job.sharedTokens);
            tokensRead += job.toRead;
            held += job.size();
            running.add(job);
        }
    }

    private double readPiece() {
        double left = capability.pieceTokens();
        for (Job job : running) {
            double read = Math.min(left, job.toRead);
            job.toRead -= read;
            left -= read;
        }
        return capability.pieceTokens() - left;
    }

    private void token(Job job) {
        if (job.toRead > 0) {
            return;
        }
        if (job.made == 0 && job.part != 0 && !job.partWasKept) {
            keep(job);
        }
        job.made++;
        if (job.made == Math.min(capability.tokensPerEvent(), job.tokensOut)) {
            clock.after(capability.firstMs(), job.receiver::firstEvent);
        }
        if (job.made >= job.tokensOut) {
            running.remove(job);
            clock.after(capability.firstMs(), job.receiver::finished);
        }
    }

    private void keep(Job job) {
        kept.put(job.part, job.sharedTokens);
        keptTokens += job.sharedTokens;
        Iterator<Map.Entry<Long, Double>> oldest = kept.entrySet().iterator();
        while (keptTokens > capability.memoryTokens() / 2 && oldest.hasNext()) {
            keptTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
