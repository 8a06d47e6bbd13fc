import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that was sent, answered or run. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), "UTF-8");
  }

  synchronized void add(String format, Object... args) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    out.printf(Locale.ROOT, "%8.3f s  %s%n", seconds, String.format(Locale.ROOT, format, args));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
