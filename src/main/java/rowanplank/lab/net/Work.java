package rowanplank.lab.net;

/** A piece of a process's work. The world runs it when it is due; its process performs it once it has the time. */
abstract class Work implements Runnable {
    final SimProcess process;

    Work(SimProcess process) {
        this.process = process;
    }

    @Override
    public final void run() {
        process.due(this);
    }

    abstract void perform();
}
