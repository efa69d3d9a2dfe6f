package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the seconds since the start. */
public final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Seconds since the start of the run. */
    public double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    public synchronized void add(String line) {
        out.printf("%8.3f  %s%n", now(), line);
        out.flush();
    }

    /** Adds a line and prints it as well. */
    public void say(String line) {
        add(line);
        System.out.printf("%8.3f  %s%n", now(), line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
