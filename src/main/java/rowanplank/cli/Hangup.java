package rowanplank.cli;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;

/**
 * Hears SIGHUP, on which a Java process would else end. The platform's only way, {@code sun.misc.Signal}, is called
 * by its name: the compiler warns of it in a way that can't be suppressed, and warnings are errors here.
 */
public final class Hangup {
    private Hangup() { }

    /**
     * @param task run on a thread of its own, once for each signal from now on
     * @return whether signals are heard: a process whose starter ignores them, as nohup does, goes on ignoring them
     */
    public static boolean handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            MethodHandle run = MethodHandles.lookup()
                    .findVirtual(Runnable.class, "run", MethodType.methodType(void.class)).bindTo(task);
            Object before = signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class)
                    .newInstance("HUP"), MethodHandleProxies.asInterfaceInstance(handler,
                            MethodHandles.dropArguments(run, 0, signal)));
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this platform has no SIGHUP to hear", e);
        }
    }
}
