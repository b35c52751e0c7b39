package rowanplank.cli;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

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
            Object runs = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> called(task, proxy, method, arguments));
            Object before = signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class)
                    .newInstance("HUP"), runs);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this platform has no SIGHUP to hear", e);
        }
    }

    /** Runs the task for a signal; what else a handler may be asked is what every object is. */
    private static Object called(Runnable task, Object proxy, Method method, Object[] arguments) {
        return switch (method.getName()) {
            case "handle" -> {
                task.run();
                yield null;
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> 1; // there is only one
            default -> "the handler of SIGHUP";
        };
    }
}
