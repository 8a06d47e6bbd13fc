import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A runner of streams, which is a process of its own and prints what it runs.
 *
 * <p>Some of its answers have no length and end with their channel.
 */
final class StreamRunner {

  private static final int SLOTS = 64;

  private StreamRunner() {}

  /** Arguments: id, address, share of the answers without length, milliseconds between events. */
  public static void main(String[] args) throws Exception {
    double unframed = Double.parseDouble(args[2]);
    int pause = Integer.parseInt(args[3]);
    Record none = new Record(Path.of("/dev/null"));
    Random random = new Random();
    new Runner(args[0], args[1], "", SLOTS, SLOTS, none, new ConcurrentHashMap<>()) {
      @Override
      boolean serve(Http.Message request, String requestId, OutputStream out)
          throws IOException, InterruptedException {
        int events = 100 + random.nextInt(101);
        boolean framed = random.nextDouble() >= unframed;
        synchronized (System.out) {
          System.out.println(
              "request "
                  + requestId
                  + ": run at "
                  + id
                  + ", "
                  + events
                  + " events, "
                  + (framed ? "chunks" : "no length"));
        }
        present.incrementAndGet();
        try {
          String extra =
              "X-Response-Stamp: s."
                  + requestId
                  + (framed ? "\r\nTransfer-Encoding: chunked\r\n" : "\r\nConnection: close\r\n");
          out.write(head("200 OK", requestId, extra, -1));
          for (int i = 1; i <= events; i++) {
            Thread.sleep(pause);
            byte[] event =
                ("id: " + i + "\ndata: " + requestId + " piece " + i + "\n\n")
                    .getBytes(StandardCharsets.UTF_8);
            out.write(framed ? chunk(event) : event);
          }
          if (framed) {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
          }
        } finally {
          present.decrementAndGet();
        }
        return framed;
      }
    };
    System.out.println("listening");
    // Ends with the process that started it.
    while (System.in.read() >= 0) {
      continue;
    }
    System.exit(0);
  }

  private static byte[] chunk(byte[] bytes) {
    String text =
        Integer.toHexString(bytes.length)
            + "\r\n"
            + new String(bytes, StandardCharsets.UTF_8)
            + "\r\n";
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
