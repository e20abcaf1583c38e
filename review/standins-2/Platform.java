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

/** The platform's endpoint for promotions; it checks fencing tokens. */
final class Platform implements AutoCloseable {
    private static final long PROMOTE_MILLIS = 600;
    private final HttpServer server;
    private final Fleet.Record record;
    private final List<Group> groups;
    private final Map<String, Long> fences = new HashMap<>();
    /** Called with the group and the instance just after each promotion. */
    volatile java.util.function.BiConsumer<Group, Group.Instance> onPromoted = (group, instance) -> {};

    volatile java.util.function.Consumer<String> onOrder = service -> {};

    Platform(Fleet fleet, List<Group> groups) throws IOException {
        this.groups = groups;
        record = fleet.record;
        server = HttpServer.create(new InetSocketAddress(fleet.net + "2", fleet.platformPort), 64);
        server.createContext("/failover", this::failover);
        server.setExecutor(Executors.newCachedThreadPool(Group::daemon));
        server.start();
    }

    private void failover(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String holder = exchange.getRequestHeaders().getFirst("X-Buckthornhub-Lease-Holder");
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Buckthornhub-Fencing-Token"));
        String service = field(body, "service");
        String id = field(body, "id");
        onOrder.accept(service);
        int status = order(service, id, fence);
        record.line("POST /failover " + service + " " + id + " by " + holder + " with token " + fence + ": " + status);
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    private int order(String service, String id, long fence) {
        synchronized (this) {
            if (fence < fences.getOrDefault(service, 0L)) return 409;
            fences.put(service, fence);
        }
        for (Group group : groups) {
            if (!group.service.equals(service)) continue;
            Group.Instance instance = group.byId(id);
            if (instance == null || !instance.isRunning) return 409;
            if (instance.isPrimary) return 200;
            try {
                Thread.sleep(PROMOTE_MILLIS);
            } catch (InterruptedException e) {
                return 500;
            }
            group.promote(instance);
            onPromoted.accept(group, instance);
            return 200;
        }
        return 409;
    }

    private static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
