import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform: promotes instances and checks fencing tokens. */
final class Platform {
    private static final long PROMOTE_MILLIS = 600;
    private final Map<String, Long> fences = new HashMap<>();
    private final List<Group> groups;
    final String address;

    Platform(String ip, List<Group> groups) throws IOException {
        this.groups = groups;
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 16);
        server.setExecutor(Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work, "platform");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/failover", this::failover);
        server.start();
        address = ip + ":" + server.getAddress().getPort();
    }

    private void failover(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Buckthornhub-Fencing-Token"));
        String service = field(body, "service");
        String id = field(body, "id");
        Case.log("platform: failover of " + service + " to " + id + " with fence " + fence);
        exchange.sendResponseHeaders(promote(service, id, fence) ? 200 : 409, -1);
        exchange.close();
    }

    private boolean promote(String service, String id, long fence) {
        synchronized (fences) {
            if (fence < fences.getOrDefault(service, 0L)) return false;
            fences.put(service, fence);
        }
        for (Group group : groups) {
            if (!group.name.equals(service)) continue;
            for (Instance instance : group.instances) {
                if (!instance.id.equals(id)) continue;
                if (group.isPrimary(instance)) return true;
                try {
                    Thread.sleep(PROMOTE_MILLIS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return false;
                }
                Instance old = group.primary();
                group.promote(instance);
                Case.log(group.name + ": " + id + " leads term " + group.term());
                Threads.start("announce", instance::heartbeat);
                Threads.start("announce", old::heartbeat);
                return true;
            }
        }
        return false;
    }

    private static String field(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }
}
